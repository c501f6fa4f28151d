#include "../check_suite.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rosemaryrail/job_summary.h"

static struct rr_job_summary decoded;

static bool
decode (const char *text)
{
  return rr_job_summary_decode (text, strlen (text), &decoded);
}

START_TEST (round_trip)
{
  struct rr_job_summary s
      = { .accepted_ms = 1773545490112, .phase = RR_PHASE_FAILED };
  snprintf (s.id, sizeof s.id, "5c0e7a21d94b36f8");
  snprintf (s.queue, sizeof s.queue, "r-\"q\"");
  snprintf (s.shard, sizeof s.shard, "s12");
  char *text = rr_job_summary_encode (&s);
  ck_assert (decode (text));
  ck_assert_str_eq (decoded.id, s.id);
  ck_assert_str_eq (decoded.queue, s.queue);
  ck_assert_str_eq (decoded.shard, s.shard);
  ck_assert_int_eq (decoded.accepted_ms, s.accepted_ms);
  ck_assert_int_eq (decoded.phase, RR_PHASE_FAILED);
  free (text);
}
END_TEST

/* Guards against a job that is taken for an ended one, and so never runs.  */
START_TEST (job_graphs)
{
  struct rr_job_graph *g = rr_job_graph_new (1);
  snprintf (g->id, sizeof g->id, "5c0e7a21d94b36f8");
  static const char spec[] = "{\"ended\":\"completed\"}";
  g->spec = rr_text_new (spec, sizeof spec - 1);
  char *text = rr_job_graph_encode (g);
  ck_assert (!decode (text));
  free (text);
  rr_job_graph_free (g);
}
END_TEST

/* Guards against a crash on a value that is not ours, and against a phase that
   isn't final.  */
START_TEST (invalid_texts)
{
  ck_assert (!decode (""));
  ck_assert (!decode ("{"));
  ck_assert (!decode ("{\"ended\":"));
  ck_assert (!decode ("{\"ended\":1,\"id\":\"a\",\"queue\":\"b\","
                      "\"shard\":\"c\"}"));
  ck_assert (!decode ("{\"ended\":\"active\",\"id\":\"a\",\"queue\":\"b\","
                      "\"shard\":\"c\"}"));
  ck_assert (!decode ("{\"ended\":\"completed\",\"id\":[],\"queue\":\"b\","
                      "\"shard\":\"c\"}"));
  ck_assert (
      !decode ("{\"ended\":\"completed\",\"id\":\"a\",\"queue\":\"b\"}"));
  char text[400];
  snprintf (text, sizeof text,
            "{\"ended\":\"completed\",\"id\":\"%0100d\",\"queue\":\"b\","
            "\"shard\":\"c\"}",
            1);
  ck_assert (!decode (text));
}
END_TEST

SUITE ("job summary", round_trip, job_graphs, invalid_texts)
