# Guards against wrong results when writes take effect at the platform but their
# responses are lost, while jobs are submitted, requests granted and
# configurations applied.  No request runs twice, accepted jobs complete, and
# the result of each apply matches the generation.
. ./lib.sh
deploy z1 2 2
platform faults '{"drop_answers":6}'
PRINT=jobs load z1-d0 --jobs 4 --tasks 3 --team batch --class scan --id-prefix lost
wait_for "six answers dropped" eval 'curl -s "http://$address:$platform_port/stats" | jq -e ".answers_dropped >= 6"'
for i in 0 1 2 3; do
  wait_for "job $i ends" job_is "batch:lost-j$i" succeeded
  echo "job $i: $(job "batch:lost-j$i")"
done
platform faults '{"drop_answers":5}'
load z1-d1 --requests 20 --rate 200 --non-repeatable-pct 100 --duplicate-pct 50 \
  --id-prefix grant --timeout-ms 4000 >/dev/null
echo "a request ran twice: $(jq -n '[inputs | select(.event == "execute-start") | .request] | group_by(.) | any(length > 1)' "${worker_logs[@]}")"
platform faults '{"drop_answers":0}'
for n in 1 2 3 4 5 6; do
  sed "s/\"memory_mb\": 200000/\"memory_mb\": 20000$n/" \
    "$source/tests/daemon/session.jsonc" >"$work/$n.jsonc"
  before=$(status z1-d0 .generation)
  platform faults "{\"drop_answers\":$((n % 3 + 1))}"
  if apply z1-d0 "$work/$n.jsonc" >"$work/apply" 2>&1; then
    reported=applied
  elif grep -q -i unknown "$work/apply"; then
    reported=unknown
  else
    reported=refused
  fi
  platform faults '{"drop_answers":0}'
  after=$(status z1-d0 .generation)
  case $reported:$((after - before)) in
    applied:1 | refused:0 | unknown:[01]) echo "apply $n: as reported" ;;
    *) echo "apply $n: reported $reported, generation $before to $after" ;;
  esac
  wait_for "both daemons agree" eval '[ "$(status z1-d0 .digest)" = "$(status z1-d1 .digest)" ]'
done
verify
