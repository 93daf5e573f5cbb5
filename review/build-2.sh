#!/usr/bin/env bash
# Builds the stand-ins of the second review. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review-bed ./review/bed
