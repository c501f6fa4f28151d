#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to review/15 start, into
# target/, after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
[ -f target/build.ninja ] \
  || meson setup target --buildtype=release -Db_ndebug=false
exec ninja -C target standins/rr-kv standins/rr-relay standins/rr-taskworker
