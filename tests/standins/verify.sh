# Guards against a checker that overlooks a broken rule: each rule is broken on
# purpose in a small log.
. ./lib.sh
bin=$1

# event WORKER AT_US EVENT MEMBERS: a line of an execution log.
event() {
  echo "{\"event\":\"$3\",\"worker\":\"$1\",\"incarnation\":1,\"at_us\":$2${4:+,$4}}"
}
boot() {
  event "$1" 1 boot '"capacity":{"cores_milli":4000,"memory_mb":1000,"accelerators":1,"slots":2,"connections":1}'
}
# start WORKER AT TASK ATTEMPT [CHECKPOINT [CORES [MEMORY [ACCELERATORS]]]]
start() {
  event "$1" "$2" start "\"task\":\"$3\",\"attempt\":$4,${5:+\"checkpoint\":\"$5\",}\"need\":{\"cores_milli\":${6:-1},\"memory_mb\":${7:-1},\"accelerators\":${8:-0},\"slots\":1}"
}
# end WORKER AT TASK ATTEMPT RESULT [CHECKPOINT]
end() {
  event "$1" "$2" end "\"task\":\"$3\",\"attempt\":$4,\"result\":\"$5\"${6:+,\"checkpoint\":\"$6\"}"
}
# execution WORKER START END REQUEST
execution() {
  event "$1" "$2" execute-start "\"request\":\"$4\",\"attempt\":1"
  event "$1" "$3" execute-end "\"request\":\"$4\",\"attempt\":1,\"result\":\"ok\""
}
# told ID SENT REPEATABLE STATUS OUTCOME CHECK: a line of a caller log.
told() {
  echo "{\"kind\":\"request\",\"id\":\"$1\",\"sent_us\":$2,\"repeatable\":$3,\"status\":$4,\"outcome\":\"$5\",\"check\":\"$6\"}"
}
job() {
  echo "{\"kind\":\"job\",\"id\":\"$1\",\"tasks\":$2,\"accepted\":true}"
}
# verify TITLE [FLAG]: checks the log on standard input; prints the title, the
# exit status and the rules that are not kept.
verify() {
  cat >"$work/log"
  "$bin/rr-verify" --log "$work/log" ${2-} >"$work/table" 2>&1
  echo "# $1: exit status $?"
  grep -E '^[a-z].* +[1-9][0-9]*  ' "$work/table"
}
# A session in which every rule is kept: an eviction with resumption, a lost
# attempt that is resumed again from the same checkpoint, a task that fails, a
# repeated repeatable request, a true "not run" beside an answered duplicate.
clean() {
  boot a
  boot b
  start a 10 j/0 1
  end a 20 j/0 1 stopped c1
  start b 30 j/0 2 c1
  end b 40 j/0 2 lease-expired c1
  start a 50 j/0 3 c1
  end a 60 j/0 3 ok c1
  start a 60 j/1 1 '' 4000 1000 1
  end a 70 j/1 1 failed
  execution a 100 110 r1
  execution b 120 130 r1
  execution a 110 140 r2
  job j 2
  job canceled 1
  echo '{"kind":"cancel","id":"canceled"}'
  told r1 90 true 200 answered ok
  told r2 90 false 200 answered ok
  told r2 95 false 503 not-run none
  told r3 95 false 503 not-run none
}

clean | verify "clean"
cat "$work/table"

(clean; start b 200 j/0 3 c1) | verify "attempt started twice"
(clean; start b 200 j/1 2; end b 210 j/1 2 ok; start a 220 j/1 3; end a 230 j/1 3 ok) \
  | verify "task completed twice"
(clean; execution b 150 160 r2) | verify "non-repeatable request run twice"
(clean; job k 3; start a 80 k/0 1; end a 90 k/0 1 ok) | verify "task lost"
(clean; start a 80 m 1; end a 85 m 1 stopped c9; start b 90 m 2; end b 95 m 2 ok) \
  | verify "checkpoint lost"
(clean; start a 65 n 1 '' 1) | verify "cores overfilled"
(clean; start b 65 n 1 '' 1 600; start b 66 o 1 '' 1 600; event b 90 alive) \
  | verify "memory overfilled"
(clean; start b 65 n 1; start b 66 o 1; start b 67 p 1; event b 90 alive) \
  | verify "slots overfilled"
(clean; start b 65 n 1 '' 1 1 1; start b 66 o 1 '' 1 1 1; event b 90 alive) \
  | verify "accelerators overfilled"
(clean; execution b 125 126 r1) | verify "connections overfilled"
(clean; event a 300 refuse '"call":"start","task":"x","reason":"full"') \
  | verify "refused as full" --full-is-overfilled
(clean; execution b 200 210 r3) | verify "false not run"
(clean; execution b 200 210 r4; told r4 190 true 503 not-run none
  told r4 205 true 200 answered ok) | verify "not run, then run before the retry"
(clean; execution b 200 210 r5; told r5 190 true 200 answered wrong) \
  | verify "wrong answer"
(clean; told r6 190 true 200 answered ok) | verify "answer without execution"
(clean; start a 80 q 1; end a 100 q 1 stopped; start b 90 q 2; end b 110 q 2 ok) \
  | verify "two places"
(clean; start a 80 q 1; event a 95 alive; start b 90 q 2; end b 110 q 2 ok) \
  | verify "two places, first without end"
(clean; start a 80 s 1 c0; end a 90 s 1 stopped c1; start b 95 s 2 c0; end b 99 s 2 ok c0) \
  | verify "resumed twice"
echo '{"event":' | verify "bad line"
sed "s,$work,LOG,g" "$work/table"
verify "no events" </dev/null
cat "$work/table"
