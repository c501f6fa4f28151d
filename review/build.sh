#!/bin/sh
# Builds the stand-ins of the cases into target/review/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
# shellcheck disable=SC2046
gcc -std=gnu11 -D_GNU_SOURCE -O1 -g -Wall -Wextra -pthread \
  $(pkg-config --cflags json-c) review/*.c \
  -o target/review/standin $(pkg-config --libs json-c)
