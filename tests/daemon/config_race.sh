# Guards against two concurrent applies of different configurations that both
# succeed or that mix, and against generations that decrease.  Two daemons each
# apply one, 20 times.  In the last 10 rounds the platform is slow and the
# second apply starts later, so that one head is written between the read and
# the write of the other.  Exactly one apply succeeds; the other fails with a
# conflict and a diff, and none of its file becomes active.
. ./lib.sh
deploy z1 3 2
watch_generations() {
  while :; do
    for d in "${daemons[@]}"; do
      g=$(get "$d" /v1/status | jq .generation) && echo "$d $g"
    done
  done >"$work/generations" 2>/dev/null
}
watch_generations &
pid[watch]=$!
rounds=0 wins=0 diffs=0 in_force=0
for n in $(seq 1 20); do
  g=$(status z1-d0 .generation)
  [ $n = 11 ] && platform faults '{"delay_ms":60}'
  for side in 0 1; do
    sed "s/\"memory_mb\": 200000/\"memory_mb\": $((200000 + 2 * n + side))/" \
      "$source/tests/daemon/session.jsonc" >"$work/$side.jsonc"
    apply "z1-d$side" --generation="$g" "$work/$side.jsonc" >"$work/apply.$side" 2>&1 &
    side_pid[$side]=$!
    [ $n -gt 10 ] && sleep "0.0$((n % 5 * 2))"
  done
  winner=-1
  won=0
  for side in 0 1; do
    if wait "${side_pid[$side]}"; then
      winner=$side
      won=$((won + 1))
    fi
  done
  rounds=$((rounds + 1))
  [ $won = 1 ] && wins=$((wins + 1))
  grep -q conflict "$work/apply.$((1 - winner))" \
    && grep -q memory_mb "$work/apply.$((1 - winner))" && diffs=$((diffs + 1))
  for d in "${daemons[@]}"; do
    wait_for "$d has generation $((g + 1))" status "$d" ".generation == $((g + 1))"
    get "$d" /v1/config | grep -q "$((200000 + 2 * n + winner))" \
      && in_force=$((in_force + 1))
  done
done
echo "rounds $rounds, with exactly one winner $wins, conflicts with a diff $diffs"
echo "daemons with the winner's file in force: $in_force of 60"
kill "${pid[watch]}"
sort -s -k1,1 "$work/generations" | awk '
  $1 == last && $2 < g { back++ } { last = $1; g = $2 }
  END { print "generations that went back: " back + 0 }'
verify
