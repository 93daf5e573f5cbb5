#!/usr/bin/env bash
# Builds what the cases start: their stand-ins, which run in the process of the case. The daemon
# is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
for main in review/[0-9]*/main.go review/more/*/main.go; do
  folder="$(dirname "$main")"
  name="${folder#review/}"
  go build -buildvcs=false -o "target/review-${name//\//-}" "./$folder"
done
