# Guards against tasks that are started on a leaving VM, lost or resumed twice.
# An operator drains one VM, and the VM list marks another as leaving.  The
# execution logs show that nothing starts on them after 3 s and that each of
# their batch tasks resumes on another VM from its checkpoint exactly once.
. ./lib.sh
deploy z1 2 4
submit z1-d0 move 8 --work-ms 9000
wait_for "all tasks run" running batch:move-j0 8
# leave NAME COMMAND...: makes VM NAME leave with COMMAND and waits until it is
# empty.
leave() {
  local vm=$1
  shift
  "$@" >/dev/null
  sleep 3.2
  # Workers with tasks write a log line every 500 ms.
  local left_us
  left_us=$(cat "${worker_logs[@]}" | jq -n '[inputs.at_us] | max')
  wait_for "$vm is empty" status z1-d0 --arg vm "$vm" \
    'any(.workers[]; .name == $vm and .state == "leaving" and .tasks <= 0)'
  left[$vm]=$left_us
}
declare -A left
list_leaving() {
  listed[z1-w1]=leaving
  list_vms
}
leave z1-w0 ctl drain z1-w0 --daemon "$address:${http_port[z1-d0]}"
leave z1-w1 list_leaving
wait_for "job ends" job_is batch:move-j0 succeeded
echo "job: $(job batch:move-j0)"
for vm in z1-w0 z1-w1; do
  echo "$vm, starts after 3 s: $(count_logged ".event == \"start\" and .worker == \"$vm\" and .at_us > ${left[$vm]}")"
done
moved=$(count_logged '.event == "end" and (.task | startswith("batch:")) and .result == "stopped"')
resumed=$(count_logged '.event == "start" and (.task | startswith("batch:")) and .checkpoint != null')
echo "tasks moved: $([ "$moved" -gt 0 ] && echo yes)"
echo "each resumed once from its checkpoint: $([ "$moved" = "$resumed" ] && echo yes)"
echo "tasks lost their lease: $(count_logged '.event == "end" and (.task | startswith("batch:")) and .result == "lease-expired"')"
echo "request after the moves: $(one z1-d1 after true --timeout-ms 20000)"
verify
