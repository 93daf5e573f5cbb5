#!/usr/bin/env bash
# Builds what the cases start: their stand-ins, which run in the process of the case. The daemon
# is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
for main in review/[0-9]*/main.go; do
  n="$(basename "$(dirname "$main")")"
  go build -buildvcs=false -o "target/review-$n" "./review/$n"
done
