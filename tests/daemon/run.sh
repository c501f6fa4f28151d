#!/bin/bash
# run.sh NAME: runs the session NAME.sh and compares its output with
# NAME.expected.  BUILD and SOURCE must be set to the build and source folders;
# with KEEP=1 the logs are kept.
cd "$(dirname "$0")" || exit 1
out=$(mktemp)
bash "./$1.sh" >"$out" 2>&1
diff -u "$1.expected" "$out"
rc=$?
rm -f "$out"
exit $rc
