#!/bin/sh
# The whole check: build with warnings as errors, lint, all tests, then all
# tests again under ASan and UBSan.  Closes with the line "N passed, N failed".
set -u
cd "$(dirname "$0")/.."
scripts/install-deps.sh || exit 1
passed=0
failed=0

step() {
  name=$1
  shift
  if "$@" >build-step.log 2>&1; then
    passed=$((passed + 1))
    echo "ok   $name"
  else
    failed=$((failed + 1))
    echo "FAIL $name"
    cat build-step.log
  fi
  rm -f build-step.log
}

configure() {
  [ -f "$1/build.ninja" ] || meson setup "$@"
}

# Runs meson's tests in one build folder and adds their results to the totals.
run_tests() {
  UBSAN_OPTIONS=halt_on_error=1:print_stacktrace=1 \
    meson test -C "$1" --no-rebuild --print-errorlogs >build-test.log 2>&1
  sed -n '/^ *[0-9]*\/[0-9]* /p' build-test.log
  grep -q 'FAIL\|TIMEOUT\|ERROR' build-test.log && cat build-test.log
  ok=$(sed -n 's/^Ok: *\([0-9]*\).*/\1/p' build-test.log)
  known=$(sed -n 's/^Expected Fail: *\([0-9]*\).*/\1/p' build-test.log)
  bad=$(sed -n 's/^\(Fail\|Timeout\|Unexpected Pass\): *\([0-9]*\).*/\2/p' build-test.log \
    | awk '{n += $1} END {print n + 0}')
  red=0
  sed -n 's/^test: //p' KNOWN-RED.txt >build-known-red.log 2>/dev/null
  while IFS= read -r name; do
    if grep -q "^ *[0-9]*/[0-9]* .*[ /]$name  *\(FAIL\|TIMEOUT\) " build-test.log; then
      echo "known red, see KNOWN-RED.txt: $name in $1"
      red=$((red + 1))
    fi
  done <build-known-red.log
  rm -f build-known-red.log
  [ "${bad:-0}" = 0 ] || bad=$((bad - red))
  [ -n "$ok" ] || { ok=0; bad=1; }
  passed=$((passed + ok))
  failed=$((failed + bad))
  [ "${known:-0}" = 0 ] || echo "known failures, see KNOWN-RED.txt: $known"
  rm -f build-test.log
}

step "configure" configure build --werror
step "build" ninja -C build
step "configure sanitizers" configure build-asan --werror \
  -Db_sanitize=address,undefined -Db_lundef=false
step "build sanitizers" ninja -C build-asan
step "lint" scripts/lint.sh build
run_tests build
run_tests build-asan
[ ! -s KNOWN-RED.txt ] || { echo "KNOWN-RED.txt:"; cat KNOWN-RED.txt; }
echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
