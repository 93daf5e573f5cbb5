#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
# With TROUBLE=0 it does the same without the disruption.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")" || exit 2
[ -x ../../../target/review-more-gang ] || exit 2
timeout -k 2 115 ../../../target/review-more-gang
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
