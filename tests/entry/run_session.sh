#!/bin/sh
# Runs SESSION.sh and compares its transcript with SESSION.expected.
"$1.sh" 2>/dev/null | diff -u "$1.expected" -
