#include <stdio.h>
#include <string.h>

#include "../check_suite.h"
#include "rosemaryentryd/transfer_outcome.h"

static const char job_key[] = "rail/job/5c0e7a21d94b36f8";
static const char other_key[] = "rail-progress/s0/5c0e7a21d94b36f8";

/* Returns what a conflict with the job in SHARD shows of a transfer from s0;
   SHARD is null when the job is gone.  */
static bool
moved (const char *shard)
{
  char graph[128];
  snprintf (graph, sizeof graph,
            "{\"id\":\"5c0e7a21d94b36f8\",\"shard\":\"%s\",\"steps\":[{"
            "\"tasks\":1}]}",
            shard == NULL ? "" : shard);
  static char progress[] = "{\"phase\":\"active\",\"tasks\":[]}";
  struct store_item items[] = { { .key = other_key,
                                  .value = progress,
                                  .value_length = sizeof progress - 1,
                                  .revision = 9 },
                                { .key = job_key,
                                  .value = shard == NULL ? NULL : graph,
                                  .value_length = strlen (graph),
                                  .revision = 4,
                                  .removed = shard == NULL } };
  struct store_result r
      = { .state = STORE_CONFLICT, .items = items, .item_count = 2 };
  return transfer_took_effect (&r, job_key, "s0");
}

/* Guards against a job that is dropped though it has not moved: progress was
   stored after an attempt without an answer, and the next one conflicts.  */
START_TEST (conflict_with_progress) { ck_assert (!moved ("s0")); }
END_TEST

/* Guards against a job that two shards run: the attempt without an answer took
   effect, and the job may have moved on or have ended since.  */
START_TEST (attempt_took_effect)
{
  ck_assert (moved ("s1"));
  ck_assert (moved ("s2"));
  ck_assert (moved (NULL));
}
END_TEST

SUITE ("transfer conflict", conflict_with_progress, attempt_took_effect)
