#!/bin/bash
# Guards against a job whose spec is empty, missing, as long as it may be or has
# a NUL in it: its owners end when they start it, or its tasks get another spec.
. "$(dirname "$0")/lib.sh"
layout=1
deploy 2 2
: >"$work/none"
step='"steps":[{"count":2,"cpu":1000,"memMb":100,"estimateMs":900}]'
long=$(printf 'work=900;%3991s' x)
submit() {
  answer=$(request POST 1 "$1" "{${2:+\"spec\":\"$2\",}$step}")
  case $answer in *200*) ;; *) fail "submission $1: $answer" ;; esac
}
submit 00000000000000e1 ''
answer=$(request POST 2 00000000000000e2 "{\"spec\":\"\",$step}")
case $answer in *200*) ;; *) fail "submission of the empty spec: $answer" ;; esac
submit 00000000000000e3 "$long"
submit 00000000000000e4 'work=900;a\u0000bc'
submit 00000000000000e5 'work=900'
completed() { case $(request GET "$1" "$2") in *completed*) true ;; *) false ;; esac; }
for i in 1 2 3 4 5; do
  id=00000000000000e$i
  wait_for "job $i" 10 completed 2 $id
  echo "job $i: $(cat "$work"/runs.*.jsonl | jq -r "select(.event == \"spec\" and (.task | startswith(\"$id\"))) | .how + \" bytes\"" | sort | uniq -c | tr -s ' ')"
done
answer=$(request POST 1 00000000000000e6 "{\"spec\":\"x$long\",$step}")
echo "too long: ${answer##* \{}"
answer=$(request POST 1 00000000000000e7 "{\"spec\":7,$step}")
echo "no string: ${answer##* \{}"
kill -0 "${pid[d1]}" && kill -0 "${pid[d2]}" && echo "both daemons run"
verify "$work/none"
