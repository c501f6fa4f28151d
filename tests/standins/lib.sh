# Shared by the scripts of this folder, which print a transcript that meson
# compares with NAME.expected through run.sh.
set -u

# Each run has a loopback address of its own, so runs on one machine don't
# collide on ports.
address=127.$(($$ / 250 % 250 + 1)).$(($$ % 250 + 1)).1
work=$(mktemp -d)
pids=

finish() {
  for pid in $pids; do
    kill -TERM "$pid" 2>/dev/null
    kill -CONT "$pid" 2>/dev/null
  done
  for pid in $pids; do
    wait "$pid" || echo "process ended with status $?"
  done
  pids=
  rm -rf "$work"
}
trap finish EXIT

# background PORT COMMAND...: starts a server and waits until PORT accepts.
background() {
  port=$1
  shift
  "$@" --address "$address" --max-run-s 120 --log-level error &
  pids="$pids $!"
  tries=0
  until curl -s -o /dev/null "http://$address:$port/stats"; do
    tries=$((tries + 1))
    [ $tries -lt 200 ] || { echo "no answer on port $port"; exit 1; }
    sleep 0.05
  done
}

# call PORT METHOD PATH [BODY [HEADER...]]: prints one line with the request,
# the status (000: connection closed without an answer) and the body.
call() {
  port=$1 method=$2 path=$3 body=${4-}
  shift 3
  [ $# -gt 0 ] && shift
  set -- -s -X "$method" -w ' %{http_code}' "$@"
  [ -n "$body" ] && set -- "$@" -d "$body"
  printf '%s %s: ' "$method" "$path"
  curl "$@" "http://$address:$port$path" | tr -d '\n' || true
  echo
}

# Replaces numbers that differ from run to run.
mask() {
  sed -E "s/\"($1)\":[0-9]+/\"\1\":N/g"
}
