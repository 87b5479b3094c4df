#!/usr/bin/env bash
# A task runs twice: a late call has lengthened the lease of a worker that is then cut off.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
exec target/review-2/standin lengthened review/10/record.txt
