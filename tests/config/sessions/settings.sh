# Guards against a daemon that accepts settings it can't use, or that does not
# say what is wrong with them.
run_daemon() {
  printf '$ rosemaryraild %s\n' "$*"
  rc=0
  "$DAEMON" "$@" >"$work/out" 2>"$work/err" || rc=$?
  cat "$work/out"
  sed 's/^/! /' "$work/err"
  printf 'exit %s\n\n' "$rc"
}
example=../../../examples/daemon.jsonc
run_daemon --check $example
run_daemon --check --set http_port=0 --set seed_peers= $example
run_daemon --check --set name=d --set region=r --set zone=z \
  --set platform_address=127.0.0.1 --set platform_port=1
run_daemon --check
run_daemon --check --set http_port=http --set drain_ms=-1 --set name $example
run_daemon --check --set log_level=all $example
run_daemon --check no-such-file
run_daemon --check --port 1
