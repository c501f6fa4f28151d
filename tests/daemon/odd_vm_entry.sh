# Guards against daemons that end or stop following the VM list after another
# writer left odd entries in it, and against tasks that are started twice
# because an odd entry replaced that of their worker.
. ./lib.sh
deploy z1 2 2
submit z1-d0 odd 8 --work-ms 6000
wait_for "all tasks run" running batch:odd-j0 8
nested=$(printf '[%.0s' {1..500}; printf ']%.0s' {1..500})
# The entry of z1-w0 is nested too deeply, two more have a port that is out of
# range or are no objects, and z1-w9 is new.
list_vms
jq -c '(.vms[] | select(.name == "z1-w1")) as $good
    | .vms |= map(if .name == "z1-w0" then "NESTED" else . end)
      + [7, $good + {"name":"z1-w8","http_port":99999},
         $good + {"name":"z1-w9","http_port":24999}]' "$work/vms.json" \
  | sed "s/\"NESTED\"/$nested/" >"$work/vms.new"
mv "$work/vms.new" "$work/vms.json"
state_is() { # NAME WORKER STATE
  status "$1" --arg w "$2" --arg s "$3" \
    'any(.workers[]; .name == $w and .state == $s)'
}
knows() { status "$1" --arg w "$2" 'any(.workers[]; .name == $w)'; }
for d in z1-d0 z1-d1; do
  wait_for "$d follows the list" knows $d z1-w9
  wait_for "$d doesn't use z1-w0" state_is $d z1-w0 suspect
  echo "$d: the new worker is known, the one with the odd entry is suspect"
done
submit z1-d1 later 2 --work-ms 100
wait_for "the later job ends" job_is batch:later-j0 succeeded
echo "starts of the later job on z1-w0: $(count_logged \
  '.event == "start" and .worker == "z1-w0" and (.task | startswith("batch:later"))')"
list_vms
for d in z1-d0 z1-d1; do
  wait_for "$d uses z1-w0 again" state_is $d z1-w0 live
  wait_for "$d drops z1-w9" state_is $d z1-w9 gone
  echo "$d: as before; lines about the odd entries: $(grep -c vm_list_entries_left_out "$work/$d.log")"
done
wait_for "job ends" job_is batch:odd-j0 succeeded
echo "starts of the first job: $(count_logged \
  '.event == "start" and (.task | startswith("batch:odd"))')"
verify
