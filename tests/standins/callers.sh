# Guards against callers, relay or checker that misreport what happened: the
# callers talk to a worker without a daemon in between, through a relay.
. ./lib.sh
bin=$1
background 7200 "$bin/rr-worker" --first-port 7200 --service-us 1000 \
  --connections 1000 --log "$work/execution.log"
background 7203 "$bin/rr-relay" --control-port 7203 \
  --pair "za:$address:7201=$address:7200" \
  --pair "zb:$address:7202=$address:7200"

# load NAME FLAGS: sends requests and checks the logs.
load() {
  name=$1
  shift
  "$bin/rr-load" --daemon "$address:7201" --daemon "$address:7202" \
    --requests "${requests:-200}" --rate 400 --timeout-ms 20000 --id-prefix "$name" \
    --log "$work/$name.log" "$@" >"$work/summary" || echo "load failed"
  sed -E 's/(p50|p99|p99.9|per_second|seconds|in_deadline)=[0-9.]+/\1=N/g' \
    "$work/summary"
  "$bin/rr-verify" --log "$work/execution.log" --log "$work/$name.log" \
    >"$work/table" || echo "verify failed"
  grep -vE ' 0  -$|^events' "$work/table"
}
relay() {
  call 7203 POST "/groups/$1" "$2" | mask accepted
}

echo "# all pass"
load pass --duplicate-pct 20 --non-repeatable-pct 0
echo "# delayed"
relay all '{"delay_ms":5}'
load delay
echo "# one zone cut: refused connections, nothing ran there"
relay za '{"mode":"cut","delay_ms":0}'
load cut
echo "# answers dropped after the request has gone through"
relay za '{"mode":"drop-answers"}'
load drop
grep -c '"status":0' "$work/drop.log"
echo "# frozen: no answer until thawed"
relay all '{"mode":"freeze","delay_ms":0}'
requests=20 load freeze >"$work/frozen" &
frozen=$!
sleep 0.3
echo "answers while frozen: $(cat "$work/freeze.log" 2>/dev/null | wc -l)"
relay all '{"mode":"pass"}'
wait $frozen
cat "$work/frozen"
echo "# held: no answer until released, then from a worker that started meanwhile"
background 7207 "$bin/rr-relay" --control-port 7207 \
  --pair "zc:$address:7206=$address:7205"
call 7207 POST /groups/zc '{"mode":"hold"}'
call 7206 GET /stats >"$work/held" &
held=$!
sleep 0.3
echo "answers while held: $(cat "$work/held" | wc -l)"
background 7205 "$bin/rr-worker" --first-port 7205 --log "$work/held.log"
call 7207 POST /groups/zc '{"mode":"pass"}'
sleep 0.3
echo "answers while others pass: $(cat "$work/held" | wc -l)"
call 7206 GET /stats | sed 's/{.*}/{...}/'
call 7207 POST /groups/zc '{"mode":"freeze","release":1}'
wait $held
sed 's/{.*}/{...}/' "$work/held"
echo "# errors"
relay none '{"mode":"pass"}'
relay za '{"mode":"sideways"}'
call 7203 GET /nothing
"$bin/rr-relay" --control-port 7204 --pair "za:10.0.0.1:1=$address:7200" 2>&1 \
  | sed "s/$address/ADDRESS/g"
"$bin/rr-load" --daemon 10.0.0.1:80 --requests 1 2>&1
echo "# jobs: not accepted by a worker, one line each"
"$bin/rr-load" --daemon "$address:7200" --jobs 3 --job-interval-ms 1 \
  --log "$work/jobs.log" | grep jobs
grep -o '"id":"[^"]*"\|"status":[0-9]*\|"accepted":[a-z]*' "$work/jobs.log" \
  | tr '\n' ' '
