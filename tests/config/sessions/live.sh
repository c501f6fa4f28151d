# Guards against incompatibilities of rosemaryctl and rosemaryraild: runs the
# commands against a daemon that uses the stand-in of the platform.  A separate
# loopback address keeps parallel tests from conflicting.
address=127.$(($$ / 250 % 250 + 1)).$(($$ % 250 + 1)).7
cat >"$work/vms.json" <<JSON
{"vms":[
{"name":"e1","role":"entry","address":"$address","http_port":8080,
"rpc_port":8081,"zone":"z1","rack":"r0","incarnation":1,"state":"live"},
{"name":"w1","role":"worker","address":"$address","http_port":9000,
"rpc_port":0,"zone":"z1","rack":"r1","incarnation":1,"state":"live"}]}
JSON
"$PLATFORM" --address "$address" --port 7000 --vms "$work/vms.json" \
  --max-run-s 120 >"$work/platform.log" 2>&1 &
fakes="$fakes $!"
"$DAEMON" --set name=e1 --set region=r --set zone=z1 \
  --set http_address="$address" --set rpc_address="$address" \
  --set chart_directory="$SOURCE/../../charts" \
  --set platform_address="$address" --set platform_port=7000 \
  >"$work/daemon.log" 2>&1 &
fakes="$fakes $!"
ROSEMARYCTL_DAEMONS=$address:8080
export ROSEMARYCTL_DAEMONS
i=0
until [ "$("$ROSEMARYCTL" status 2>/dev/null | grep -c ' owned ')" = 16 ]; do
  i=$((i + 1))
  [ "$i" -lt 600 ] || { cat "$work/daemon.log"; "$ROSEMARYCTL" status; exit 1; }
  sleep 0.05
done

run apply --dry-run old.jsonc
run apply --wait old.jsonc
run apply old.jsonc
run apply --generation 7 new.jsonc
# A drain remains after an apply of files without the field "drains", and ends
# with files whose list is empty.
run drain w1
run apply no-drains.jsonc
run diff no-drains.jsonc
run get
run apply new.jsonc
run undrain w1
run drain no-such-vm
run submit job.jsonc
run submit job.jsonc
run submit new.jsonc
run cancel no-such-job
run job a:no-such-job
