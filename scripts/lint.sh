#!/bin/sh
# Formatter check, clang-tidy and cppcheck over all tracked sources.
set -eu
build=${1:-build}
sources() { git ls-files --cached --others --exclude-standard "$@" \
  | grep -v 'peer_xdr\|common/peer\.h'; }
sources '*.c' '*.h' | xargs clang-format --dry-run --Werror
sources '*.c' | xargs -P "$(nproc)" -n 2 clang-tidy --quiet -p "$build" \
  2>/tmp/rr-tidy.$$ || { cat /tmp/rr-tidy.$$; rm -f /tmp/rr-tidy.$$; exit 1; }
rm -f /tmp/rr-tidy.$$
sources '*.c' | xargs cppcheck --quiet --error-exitcode=1 --inline-suppr \
  --enable=warning,portability --std=c11 -I include -j "$(nproc)" \
  --suppress=missingIncludeSystem --library=posix
echo "lint: clean"
