#!/usr/bin/env bash
# Runs the case `same-token`: exits with 1 if the rule was broken, 0 if it held, and 2 if the case
# could not run. With TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
program=target/review/release/review-standin
[[ -x $program && -x target/release/verbenagap-platform ]] || exit 2
exec "$program" same-token "review/2/record.txt"
