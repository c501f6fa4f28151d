#!/bin/bash
# run.sh NAME: runs the session NAME.sh and compares its transcript with
# NAME.expected.  The environment gives BUILD and SOURCE; with KEEP=1 the logs
# stay.
cd "$(dirname "$0")" || exit 1
out=$(mktemp)
bash "./$1.sh" >"$out" 2>&1
diff -u "$1.expected" "$out"
rc=$?
rm -f "$out"
exit $rc
