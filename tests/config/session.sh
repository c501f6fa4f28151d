# Runs one scripted session and compares its output with the expected output.
# Usage: session.sh SCRIPT EXPECTED; the environment gives ROSEMARYCTL, FAKE
# and SOURCE (this directory).  With RECORD=1 the output replaces EXPECTED.
set -eu
script=$1
expected=$2
work=$(mktemp -d)
fakes=
finish() {
  # The output of a script that failed is only in this file.
  [ -e "$work/actual" ] || cat "$work/raw"
  for pid in $fakes; do
    kill "$pid" 2>/dev/null || true
  done
  rm -rf "$work"
}
trap finish EXIT
unset ROSEMARYCTL_DAEMONS

# Runs rosemaryctl and prints its standard output, then its standard error with
# the prefix "! ", then its exit status.
run() {
  printf '$ rosemaryctl %s\n' "$*"
  rc=0
  "$ROSEMARYCTL" "$@" >"$work/out" 2>"$work/err" || rc=$?
  cat "$work/out"
  sed 's/^/! /' "$work/err"
  printf 'exit %s\n\n' "$rc"
}

# Starts a fake daemon with the answers of directory $2 and sets $1 to its
# address.
start_fake() {
  log=$work/$2.log
  : >"$log" # the loop below can read it before the daemon opens it
  "$FAKE" "$SOURCE/answers/$2" >"$log" &
  fakes="$fakes $!"
  i=0
  until grep -q '^port ' "$log"; do
    i=$((i + 1))
    [ "$i" -lt 600 ] || { echo "the fake daemon does not start" >&2; exit 1; }
    sleep 0.05
  done
  port=$(sed -n 's/^port //p' "$log")
  eval "$1=127.0.0.1:$port"
  printf 's/127\\.0\\.0\\.1:%s/%s/g\n' "$port" "$1" >>"$work/names"
}

: >"$work/names"
cd "$SOURCE/cases"
. "$script" >"$work/raw" 2>&1
sed -f "$work/names" "$work/raw" >"$work/actual"
[ -z "${RECORD:-}" ] || cp "$work/actual" "$expected"
diff -u "$expected" "$work/actual"
