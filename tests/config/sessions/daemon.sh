# Guards against requests, exit codes or output that differ from the man page.
start_fake A a
start_fake B b
unused=127.0.0.1:1

run get --daemon "$A"
run diff --daemon "$A" new.jsonc
run diff --daemon "$A" old.jsonc
run apply --daemon "$A" new.jsonc
run apply --daemon "$A" --wait new.jsonc
run apply --daemon "$A" --wait --format json old.jsonc
run apply --daemon "$A" --dry-run old.jsonc
run apply --daemon "$A" old.jsonc
run apply --daemon "$A" --generation 3 new.jsonc
run apply --daemon "$A" comma.jsonc
run apply --daemon "$B" new.jsonc
run status --daemon "$A"
run jobs --daemon "$A"
run job --daemon "$A" archive
run job --daemon "$A" unknown
run job --daemon "$A" a/b
run job --daemon "$A" a:b:c
run explain --daemon "$A" archive
run explain --daemon "$A" a:grouped
run cancel --daemon "$A" archive
run cancel --daemon "$A" ended
run submit --daemon "$A" job.jsonc
run submit --daemon "$A" comma.jsonc
run drain --daemon "$A" vm-1
run undrain --daemon "$A" vm-1
run histograms --daemon "$A"
run histograms --daemon "$A" --class quick
run histograms --daemon "$A" --team b --class none --format json

# Errors reported by a daemon.
run jobs --daemon "$B"
run cancel --daemon "$B" bad
run job --daemon "$B" j9
run histograms --daemon "$B"

# When a daemon is unreachable or not ready, the next one is tried; a change
# with unknown outcome is not sent again.
run jobs --daemon $unused
run jobs --daemon $unused --daemon "$A"
run status --daemon "$B" --daemon "$A"
run submit --daemon "$B" --daemon $unused job.jsonc
run submit --daemon $unused --daemon "$B" job.jsonc
run drain --timeout-ms 2000 --daemon "$B" --daemon "$A" vm-1
ROSEMARYCTL_DAEMONS=$unused,$A
export ROSEMARYCTL_DAEMONS
run cancel archive
unset ROSEMARYCTL_DAEMONS

echo "requests to A:"
sed 1d "$work/a.log"
echo "requests to B:"
sed 1d "$work/b.log"
