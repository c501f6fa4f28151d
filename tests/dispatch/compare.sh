#!/bin/sh
# Runs PROGRAM on SCRIPT.script and compares its output with SCRIPT.expected.
"$1" <"$2.script" | diff -u "$2.expected" -
