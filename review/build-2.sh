#!/bin/sh
# Builds the stand-ins of the scripts in review/6 to review/10 into target/,
# after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
[ -f target/build.ninja ] || meson setup target --buildtype=release -Db_ndebug=false
ninja -C target --quiet standins/rr-kv
mkdir -p target/review-2
libs="libuv libh2o json-c"
# shellcheck disable=SC2046,SC2086
for program in rv-worker rv-advice; do
  gcc -std=gnu11 -O2 -Wall -Wextra -D_GNU_SOURCE -DH2O_USE_LIBUV=1 -I include \
    $(pkg-config --cflags $libs) -o "target/review-2/$program" \
    "review/standins-2/$program.c" \
    target/standins/libstandins.a target/common/libcommon.a \
    -Ltarget/rosemaryrail -lrosemaryrail -Wl,-rpath,'$ORIGIN/../rosemaryrail' \
    $(pkg-config --libs $libs libcurl libtirpc log4c openssl argtable2 gsl libxxhash)
done
