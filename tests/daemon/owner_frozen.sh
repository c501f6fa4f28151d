# Guards against a paused shard owner that acts on stale state.  The owner of a
# team's shard is stopped with SIGSTOP while it places the tasks of a job, and
# another daemon takes the shard over.  When the former owner resumes with
# queued work, it must not start any task.
. ./lib.sh
shard=5 # of team "batch"
deploy z1 3 2
owner=$(status z1-d0 -r ".shards[$shard].owner")
other=z1-d0
[ "$owner" = z1-d0 ] && other=z1-d1
submit "$other" frozen 30 --work-ms 600
wait_for "the first tasks start" logged '.event == "start" and (.task // "" | startswith("batch:"))'
freeze "$owner"
wait_for "the shard moves" owned $other "$owner"
echo "shard moved"
submit "$other" second 4
wait_for "new job runs" logged '.event == "start" and (.task // "" | startswith("batch:second"))'
thaw "$owner"
wait_for "the resumed daemon gives up the shard" metric_at_least "$owner" shard_losses_total
echo "resumed daemon lost the shard"
for id in frozen second; do
  wait_for "job $id ends" job_is batch:$id-j0 succeeded $other
  echo "$id: $(job batch:$id-j0 $other)"
done
verify
