#!/bin/bash
# soak.sh SEED SECONDS: injects random faults into real processes, then checks
# that no task ran twice at once or again after it was done, that no task of a
# rejected job ran, and that every accepted job that was not cancelled ended.
# Faults overlap: daemons and workers are killed, stopped, restarted, cut off,
# frozen or delayed; the store is busy, unresponsive or loses its history.
. "$(dirname "$0")/lib.sh"
seed=$1
seconds=$2
RANDOM=$seed
D=3
W=5
deploy $D $W
: >"$work/accepted"
: >"$work/cancelled"
: >"$work/rejected"
: >"$work/actions"
act() { echo "$SECONDS $*" >>"$work/actions"; }

# later SECONDS COMMAND...: runs COMMAND, which ends a fault, in the background
# after SECONDS.
later() { (sleep "$1"; shift; "$@") & }

restart_daemon() {
  kill -9 "${pid[d$1]}" 2>/dev/null
  wait "${pid[d$1]}" 2>/dev/null
  start_daemon "$1"
}

restart_worker() {
  kill -9 "${pid[w$1]}" 2>/dev/null
  wait "${pid[w$1]}" 2>/dev/null
  start_worker "$1"
}

fault() {
  local d=$((RANDOM % D + 1)) w=$((RANDOM % W + 1)) s=$((RANDOM % 4 + 1))
  case $((RANDOM % 12)) in
    0) act kill "d$d"; restart_daemon $d ;;
    1) act term "d$d"; kill -TERM "${pid[d$d]}"; down[d]=$d ;;
    2) act freeze "d$d" $s; kill -STOP "${pid[d$d]}"; later $s kill -CONT "${pid[d$d]}" ;;
    3) act kill "w$w"; restart_worker $w ;;
    4) act freeze "w$w" $s; kill -STOP "${pid[w$w]}"; later $s kill -CONT "${pid[w$w]}" ;;
    5) act cut "w$w" $s; relay_mode "w$w" cut; later $s relay_mode "w$w" pass ;;
    6) act unresponsive "w$w" $s; relay_mode "w$w" freeze; later $s relay_mode "w$w" pass ;;
    7) act cut store "d$d" $s; relay_mode "d$d" cut; later $s relay_mode "d$d" pass ;;
    8) act unresponsive store "d$d" $s; relay_mode "d$d" freeze; later $s relay_mode "d$d" pass ;;
    9) act store busy $s; post "$store_port/standin/mode" '{"mode":"busy"}'; later $s post "$store_port/standin/mode" '{"mode":"ok"}' ;;
    10) act store unresponsive 1; post "$store_port/standin/mode" '{"mode":"silent"}'; later 1 post "$store_port/standin/mode" '{"mode":"ok"}' ;;
    11) act store compacted; post "$store_port/standin/compact" '{}'; relay_delay "w$w" $((RANDOM % 200)); later $s relay_delay "w$w" 0 ;;
  esac
}
declare -A down

submit() {
  local id body answer
  id=$(printf '%08x%08x' "$seed" "$1")
  body="{\"spec\":\"work=$((RANDOM % 900 + 100));fail=$((RANDOM % 3 * 5))\",\"steps\":[{\"count\":$((RANDOM % 4 + 1)),\"cpu\":1000,\"memMb\":100,\"estimateMs\":500},{\"count\":2,\"cpu\":1000,\"memMb\":100,\"estimateMs\":500,\"after\":[0]}]}"
  local tries=0 refused=0
  while [ $tries -lt 4 ]; do
    tries=$((tries + 1))
    answer=$(request POST $((RANDOM % D + 1)) "$id" "$body")
    case $answer in
      *200*) echo "$id" >>"$work/accepted"; return ;;
      *503*|*429*) refused=$((refused + 1)) ;;
    esac
    sleep 0.3
  done
  [ $refused -lt 4 ] || echo "$id" >>"$work/rejected"
}

n=0
until=$((SECONDS + seconds))
while [ $SECONDS -lt $until ]; do
  n=$((n + 1))
  submit $n &
  [ $((RANDOM % 4)) -gt 0 ] || fault
  if [ $((RANDOM % 15)) = 0 ] && [ -s "$work/accepted" ]; then
    id=$(tail -1 "$work/accepted")
    case $(request DELETE $((RANDOM % D + 1)) "$id") in
      *200*) echo "$id" >>"$work/cancelled" ;;
    esac
  fi
  for i in $(seq $D); do
    kill -0 "${pid[d$i]}" 2>/dev/null || start_daemon "$i"
  done
  sleep 0.25
done
# End all faults; accepted jobs have to end.
sleep 5
for g in $(seq $D); do relay_mode "d$g" pass; kill -CONT "${pid[d$g]}" 2>/dev/null; done
for g in $(seq $W); do relay_mode "w$g" pass; relay_delay "w$g" 0; kill -CONT "${pid[w$g]}" 2>/dev/null; done
post "$store_port/standin/mode" '{"mode":"ok"}'
for i in $(seq $D); do
  kill -0 "${pid[d$i]}" 2>/dev/null || start_daemon "$i"
done
open=$(sort -u "$work/accepted" | grep -vxFf "$work/cancelled")
end=$((SECONDS + 30))
while [ -n "$open" ] && [ $SECONDS -lt $end ]; do
  left=
  for id in $open; do
    case $(request GET 1 "$id") in
      *completed*|*failed*) ;;
      *) left="$left $id" ;;
    esac
  done
  open=$left
  sleep 0.5
done
violations=$(verify "$work/rejected")
for id in $open; do violations="$violations
not ended: $id $(request GET 1 "$id")"; done
echo "seed $seed: $n submitted, $(sort -u "$work/accepted" | wc -l) accepted, $(wc -l <"$work/cancelled") cancelled, $(wc -l <"$work/rejected") rejected, $(wc -l <"$work/actions") faults"
if [ -n "$violations" ]; then
  echo "$violations" | sed '/^$/d' | head -20
  fail "guarantees violated, seed $seed"
fi
