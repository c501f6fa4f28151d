# Functions for the sessions with a permit service; the one shard has one owner.
layout=1
permits_port=25003

# start_permits MS PER_WORKER_MS VALID_MS [PERMITTED [PADDING]]: starts the
# permit service.  The configuration declares the same times, unless $advice is set.
start_permits() {
  "$build/standins/rr-permits" --address "$address" --port $permits_port \
    --decision-ms "$1" --per-worker-ms "$2" --valid-ms "$3" \
    --permitted "${4:-100}" --padding "${5:-1}" --log "$work/permits.jsonl" >>"$work/permits.log" 2>&1 &
  pid[permits]=$!
  permits="$address:$permits_port"
  advice=${advice:-"{\"decisionMs\":$1,\"perWorkerMs\":$2,\"validMs\":$3}"}
}

completed() { case $(request GET 1 "$1") in *completed*) true ;; *) false ;; esac; }

# submit I STEP: hands in job I, whose tasks need permits.
submit() {
  local answer
  answer=$(request POST $(($1 % 2 + 1)) "$(printf '%016x' "$1")" \
    "{\"spec\":\"work=200 permit\",\"steps\":[$2]}")
  case $answer in *200*) ;; *) fail "submission $1: $answer" ;; esac
}

# wait_jobs FIRST LAST SECONDS: waits until the jobs are completed, for SECONDS
# in all, and prints how many are.
wait_jobs() {
  local until=$((SECONDS + $3)) done=0 i
  for i in $(seq "$1" "$2"); do
    until completed "$(printf '%016x' "$i")" || [ $SECONDS -ge $until ]; do sleep 0.1; done
    completed "$(printf '%016x' "$i")" && done=$((done + 1))
  done
  echo "completed: $done of $(($2 - $1 + 1))"
}

# verify_permits: no task may start without its own permit.
verify_permits() {
  : >"$work/none"
  verify "$work/none"
  echo "starts without a permit: $(cat "$work"/runs.*.jsonl | grep not_permitted | grep -c 'missing\|foreign')"
}
