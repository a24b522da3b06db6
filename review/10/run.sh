#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Run review/build-2.sh before.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2 ] && [ -x target/primrosedaled ] || exit 2
exec target/review-2 advice-removed review/10
