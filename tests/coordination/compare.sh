#!/bin/sh
# Runs PROGRAM on the script NAME.script and compares its output exactly with
# NAME.expected.  A failure of the program itself (a sanitizer's, for one)
# fails the test as well.
set -eu
program=$1
name=$2
output=$("$program" "$name.script")
printf '%s\n' "$output" | diff -u "$name.expected" -
