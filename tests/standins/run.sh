#!/bin/sh
# run.sh NAME PROGRAM-FOLDER: runs NAME.sh and compares its output with
# NAME.expected.
cd "$(dirname "$0")" || exit 1
out=$(mktemp)
sh "./$1.sh" "$2" >"$out" 2>&1
diff -u "$1.expected" "$out"
rc=$?
rm -f "$out"
exit $rc
