#!/bin/sh
# Plays the case with stand-ins; see claim.txt.  Run review/build.sh before.
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standin ] || exit 2
exec target/review/standin cancelled-late review/5/record.txt
