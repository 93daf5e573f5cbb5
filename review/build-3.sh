#!/usr/bin/env bash
# Builds what the scripts of review/11 to review/15 start beside the daemon of the deploy file: the
# stand-ins of the platform, of workers and of clients, which are one program.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review-rig ./review/rig
