#!/bin/sh
# run_session.sh SESSION: runs SESSION.sh and compares its output with
# SESSION.expected.
"$1.sh" 2>/dev/null | diff -u "$1.expected" -
