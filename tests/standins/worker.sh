# Guards against a worker that starts what it must refuse: the invariants are
# judged against its refusals and its execution log.
. ./lib.sh
log=$work/execution.log
background 7100 "$1/rr-worker" --first-port 7100 --count 2 --slots 3 \
  --connections 1 --cores-milli 4000 --memory-mb 1000 --accelerators 1 \
  --service-us 1000 --usage-lag-ms 0 --usage-window-ms 50 --fail-class bad \
  --hog-class hog --log "$log"

# post PATH BODY: calls the first worker with the masked numbers removed.
post() {
  call 7100 POST "$1" "$2" | mask 'epoch|now_ms|until_ms|remaining_ms|ended_ms'
}
# value NAME: reads a number from the last claim.
value() {
  sed -E "s/.*\"$1\":([0-9]+).*/\1/" "$work/claim"
}
# claim DAEMON: claims the first worker and keeps the answer.
claim() {
  curl -s "http://$address:7100/v1/claim" \
    -d "{\"daemon\":\"$1\",\"incarnation\":1,\"lease_ms\":60000}" \
    >"$work/claim"
  epoch=$(value epoch)
  later=$(($(value now_ms) + 60000))
}
# start TASK ATTEMPT CORES MEMORY ACCELERATORS WORK [MORE]
start() {
  printf '%s/%s ' "$1" "$2"
  post /v1/tasks/start "{\"epoch\":$epoch,\"task\":\"$1\",\"attempt\":$2,
    \"shard\":1,\"shard_epoch\":${shard_epoch:-5},\"void_after_ms\":$later,
    \"lease_ms\":60000,\"kind\":\"batch\",\"class\":\"${class:-c}\",
    \"team\":\"t\",\"cores_milli\":$3,\"memory_mb\":$4,\"accelerators\":$5,
    \"work_ms\":$6${7-}}"
}
# wait_end TASK: waits until the execution log holds the task's end.
wait_end() {
  until grep '"event":"end"' "$log" | grep -q "\"task\":\"$1\""; do
    sleep 0.02
  done
}
ends() {
  grep '"event":"end"' "$log" \
    | sed -E 's/.*"task":"([^"]*)","attempt":([0-9]+).*"result":"([^"]*)".*/\1\/\2 \3/'
}

echo "# the controller lease"
post /v1/claim '{"daemon":"d0","incarnation":1,"lease_ms":1}'
sleep 0.01
post /v1/report '{"epoch":1048577,"lease_ms":60000}'
post /v1/claim '{"daemon":"d0","incarnation":1,"lease_ms":9000000000000000000}'
claim d1
post /v1/claim '{"daemon":"d2","incarnation":1,"lease_ms":60000}'
post /v1/release '{"epoch":1048577}'
old=$epoch
claim d1
echo "epoch grew by $((epoch - old))"

post /v1/report "{\"epoch\":$epoch}"

echo "# capacity"
start a 1 1000 100 0 600000
start b 1 1000 100 1 600000
start c 1 1000 100 1 600000
start c 1 1000 801 0 600000
start c 1 2001 100 0 600000
start c 1 1000 100 0 600000
start d 1 1 1 0 600000

echo "# fences"
start a 1 1000 100 0 600000
shard_epoch=4 start e 1 1 1 0 1
later=0 start e 1 1 1 0 1
epoch=$old start e 1 1 1 0 1
post /v1/tasks/seal "{\"epoch\":$epoch,\"task\":\"e\",\"attempt\":1,\"shard\":1,\"shard_epoch\":6}"
post /v1/tasks/seal "{\"epoch\":$epoch,\"task\":\"a\",\"attempt\":1,\"shard\":1,\"shard_epoch\":6}"
post /v1/tasks/seal "{\"epoch\":$epoch,\"task\":\"f\",\"attempt\":1,\"shard\":1,\"shard_epoch\":5}"
shard_epoch=6
start e 1 1 1 0 1
post /v1/tasks/stop "{\"epoch\":$old,\"task\":\"a\",\"attempt\":1}"
post /v1/tasks/stop "{\"epoch\":$epoch,\"task\":\"z\",\"attempt\":1}"

echo "# eviction and resumption"
post /v1/tasks/throttle "{\"epoch\":$epoch,\"task\":\"a\",\"attempt\":1,\"percent\":1}" | sed 's/a:1:1:[0-9]*/a:1:1:N/'
post /v1/tasks/checkpoint "{\"epoch\":$epoch,\"task\":\"a\",\"attempt\":1}" | sed 's/a:1:1:[0-9]*/a:1:1:N/'
post /v1/tasks/stop "{\"epoch\":$epoch,\"task\":\"a\",\"attempt\":1}" | sed 's/a:1:1:[0-9]*/a:1:1:N/'
post /v1/tasks/checkpoint "{\"epoch\":$epoch,\"task\":\"a\",\"attempt\":1}"
start a 2 1000 100 0 600000 ',"checkpoint":"a:1:1:599999"'
wait_end a
post /v1/tasks/stop "{\"epoch\":$epoch,\"task\":\"b\",\"attempt\":1}"
post /v1/tasks/stop "{\"epoch\":$epoch,\"task\":\"c\",\"attempt\":1}"

echo "# failing and oversized tasks, task leases"
class=bad start g 1 1 1 0 10
wait_end g
class=hog start h 1 1 100 0 600000 ',"checkpoint":"h:0:1:300001"'
wait_end h
post /v1/tasks/start "{\"epoch\":$epoch,\"task\":\"i\",\"attempt\":1,
  \"shard\":1,\"shard_epoch\":6,\"void_after_ms\":$later,\"lease_ms\":30,
  \"kind\":\"service\",\"service\":\"check\",\"cores_milli\":1,\"memory_mb\":1}"
wait_end i
post /v1/tasks/start "{\"epoch\":$epoch,\"task\":\"j\",\"attempt\":1}"
ends

echo "# a worker paused past a task lease ends the task before it serves a call"
background 7103 "$1/rr-worker" --first-port 7103 \
  --log "$work/paused.log"
paused=${pids##* }
curl -s "http://$address:7103/v1/claim" \
  -d '{"daemon":"d1","incarnation":1,"lease_ms":60000}' >"$work/claim.paused"
epoch3=$(sed -E 's/.*"epoch":([0-9]+).*/\1/' "$work/claim.paused")
attempt=0
while :; do
  attempt=$((attempt + 1))
  curl -s -o "$work/started" "http://$address:7103/v1/tasks/start" \
    -d "{\"epoch\":$epoch3,\"task\":\"p\",\"attempt\":$attempt,\"shard\":1,
    \"shard_epoch\":1,\"void_after_ms\":9000000000000,\"lease_ms\":1000,
    \"class\":\"c\",\"cores_milli\":1,\"memory_mb\":1,\"work_ms\":100000}"
  kill -STOP "$paused"
  # On a slow machine the lease may run out before the pause.
  grep '"event":"end"' "$work/paused.log" | grep -q "\"attempt\":$attempt," \
    || break
  kill -CONT "$paused"
done
sleep 2
kill -CONT "$paused"
curl -s "http://$address:7103/v1/report" \
  -d "{\"epoch\":$epoch3,\"lease_ms\":60000}" \
  | grep -o '"result":"lease-expired"'

echo "# requests"
execute() {
  call 7100 POST "/v1/execute/$1" "$2" -D "$work/headers" \
    -H "Controller-Epoch: $3" -H "Request-Id: $4" -H "Request-Attempt: 1" \
    -H "Request-Timeout-Ms: ${5:-1000}"
  grep -i '^worker-refused' "$work/headers" | tr -d '\r'
}
execute check body "$epoch" r1
execute check other "$epoch" r1 | cut -c 1-90
execute check body "$old" r2
execute check body "$epoch" r3 0
call 7100 POST /v1/execute/check body

echo "# report"
curl -s "http://$address:7100/v1/report" \
  -d "{\"epoch\":$epoch,\"lease_ms\":60000,\"ended_after\":5}" >"$work/report"
for name in now_ms epoch incarnation leaving account tasks requests usage \
  services ended; do
  grep -o "\"$name\":" "$work/report" | head -1
done
grep -o '"result":"[^"]*"' "$work/report" | sort | uniq -c
echo "recorded ends stay away, the others are repeated"
curl -s "http://$address:7100/v1/report" \
  -d "{\"epoch\":$epoch,\"lease_ms\":60000}" \
  | grep -o '"result":"[^"]*"' | sort | uniq -c
until curl -s "http://$address:7100/v1/report" \
  -d "{\"epoch\":$epoch,\"lease_ms\":60000}" | grep -q window_start_ms; do
  execute check body "$epoch" more >/dev/null
done

echo "# leaving, failing everything, VM failure"
post /control '{"leaving":true}' | sed "s/$address/ADDRESS/"
execute check body "$epoch" r4
start k 1 1 1 0 10
post /control '{"leaving":false,"fail_everything":true}' >/dev/null
execute check body "$epoch" r5
start l 1 1 1 0 600000
wait_end l
post /control '{"fail_everything":false}' >/dev/null
start m 1 1 1 0 600000
post /control '{"crash_ms":1}' >/dev/null
until curl -s "http://$address:7100/stats" | grep -q '"incarnation":2'; do
  sleep 0.02
done
execute check body "$epoch" r6
claim d1
echo "tasks kept: $(grep -c '"task"' "$work/claim")"
call 7101 POST /v1/claim '{"daemon":"d1","incarnation":1,"lease_ms":60000}' \
  | mask 'epoch|now_ms'
call 7100 GET /v1/claim

echo "# connections"
background 7102 "$1/rr-worker" --first-port 7102 --connections 1 \
  --service-us 60000000 --log "$work/slow.log"
epoch=$(curl -s "http://$address:7102/v1/claim" \
  -d '{"daemon":"d1","incarnation":1,"lease_ms":60000}' \
  | sed -E 's/.*"epoch":([0-9]+).*/\1/')
curl -s "http://$address:7102/v1/execute/check" -d body \
  -H "Controller-Epoch: $epoch" -H "Request-Id: held" -o "$work/held" &
held=$!
until grep -q execute-start "$work/slow.log"; do sleep 0.02; done
curl -s -D - "http://$address:7102/v1/execute/check" -d body \
  -H "Controller-Epoch: $epoch" -H "Request-Id: over" \
  | grep -i worker-refused
curl -s "http://$address:7102/control" -d '{"crash_ms":1}' >/dev/null
wait $held
echo "the held request gets no answer: curl status $?"

echo "# execution log"
sed -E 's/.*"event":"([^"]*)".*/\1/' "$log" | grep -v alive | sort | uniq -c \
  | grep -v execute
