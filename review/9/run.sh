#!/usr/bin/env bash
# Accepted jobs stand still after a version replaced their route by one of another name.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
exec target/review-2/standin renamed review/9/record.txt
