#!/usr/bin/env bash
# Nothing runs for long after open connections have fallen silent, though new ones work.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
exec target/review-2/standin silent review/8/record.txt
