# Guards against a daemon that starts with settings other than those given, or
# that does not report what is wrong with them.
run_settings() {
  printf '$ %s %s\n' "$(basename "$program")" "$*"
  rc=0
  "$program" "$@" >"$work/out" 2>"$work/err" || rc=$?
  cat "$work/out"
  sed 's/^/! /' "$work/err"
  printf 'exit %s\n\n' "$rc"
}
program=$PRINT_SETTINGS
example=../../../examples/daemon.jsonc
run_settings $example
run_settings --set http_port=0 --set seed_peers= $example
run_settings --check $example
run_settings --set name=d --set region=r --set zone=z \
  --set platform_address=127.0.0.1 --set platform_port=1
run_settings
run_settings --set http_port=http --set drain_ms=-1 --set name $example
run_settings --check --set log_level=all $example
run_settings no-such-file
run_settings --port 1
run_settings --help
# The daemon checks its settings before it listens.
program=$DAEMON
run_settings --check $example
run_settings --set http_port=http --set seed_peers=peer $example
