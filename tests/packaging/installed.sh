#!/bin/sh
# Installs the library into a folder of its own, builds examples/embed.c with
# nothing but what the pkg-config file says, runs it and compares its output.
# Guards against headers or requirements left out of the installation.
# Usage: installed.sh BUILD SOURCE PREFIX LIBDIR SANITIZERS
set -eu
build=$1 source=$2 prefix=$3 libdir=$4 sanitizers=$5
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
DESTDIR=$work meson install -C "$build" --no-rebuild --quiet >"$work/log" \
  || { cat "$work/log"; exit 1; }
# The prefix moves with the staging folder.
PKG_CONFIG_PATH=$work$prefix/$libdir/pkgconfig
export PKG_CONFIG_PATH
flags=$(pkg-config --define-variable=prefix="$work$prefix" --cflags --libs \
  rosemaryrail)
[ "$sanitizers" = none ] || flags="$flags -fsanitize=$sanitizers"
# shellcheck disable=SC2086
cc -std=gnu11 -Wall -Wextra -Werror -o "$work/embed" \
  "$source/examples/embed.c" $flags
# Each installed header compiles by itself.
for header in "$work$prefix"/include/rosemaryrail/*.h; do
  # shellcheck disable=SC2086
  echo "#include <rosemaryrail/$(basename "$header")>" \
    | cc -std=gnu11 -Wall -Werror -fsyntax-only -x c - $flags
done
LD_LIBRARY_PATH=$work$prefix/$libdir "$work/embed" >"$work/out"
diff "$source/tests/packaging/embed.expected" "$work/out"
