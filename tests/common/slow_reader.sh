#!/bin/sh
# Guards against a program that blocks on the reader of its log: nothing reads
# the pipe until the program has exited.
set -eu
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
mkfifo "$work/pipe"
# Keeps the pipe open for reading, but reads nothing while the program runs.
exec 3<>"$work/pipe"
timeout 20 "$1" >"$work/pipe"
# Reads what the pipe holds, and ends there.
dd iflag=nonblock bs=65536 <&3 >"$work/lines" 2>/dev/null || true
bytes=$(wc -c <"$work/lines")
[ "$bytes" -gt 1000 ] || { echo "nothing was written"; exit 1; }
[ "$bytes" -lt 200000 ] || { echo "more than the pipe holds"; exit 1; }
echo "written $((bytes > 0)) and not blocked"
