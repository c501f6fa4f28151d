#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "platform/documents.h"
#include "rosemaryrail/job_graph.h"
#include "rosemaryrail/job_summary.h"
#include "rosemaryrail/progress.h"

/* Guards against one malformed document that ends the whole process: seeded
   mutations of valid ones go through every decoder that reads what callers,
   workers, operators and the store send.  The seed is fixed; another one can
   be given as the first argument.  */

enum
{
  ROUNDS = 30000,
  DOCUMENT_MAX = 4096,
  MUTATIONS_MAX = 4,
  NESTING = 60, /* deeper than the parser allows */
  NESTED_MAX = 120
};

static unsigned seed = 1;

static const char job[]
    = "{\"spec\":\"(text)\",\"steps\":[{\"count\":4,\"cpu\":500,\"memMb\":256,"
      "\"estimateMs\":900,\"affinity\":\"r1-3\"},{\"count\":20,\"cpu\":2000,"
      "\"memMb\":1024,\"estimateMs\":7000,\"after\":[0],\"checkpointing\":"
      "true,"
      "\"gang\":true}],\"repeatCount\":3,\"firstRunMs\":1773545490112,"
      "\"intervalMs\":900}";
static const char worker[]
    = "{\"service\":\"huvo11a\",\"address\":\"10.128.0.9:8080\",\"zone\":"
      "\"a\","
      "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"coldRemainingMs\":"
      "0,\"capacity\":{\"cpu\":16000,\"memMb\":32768,\"gpu\":0},\"labels\":["
      "\"a\",\"r1-3\"],\"clockMs\":482113,\"sequence\":4}";
static const char config[]
    = "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"prefix\":"
      "\"/p/\",\"timeoutMs\":3000,\"targetRuntimeMs\":2500,\"priority\":0,"
      "\"service\":\"s\",\"maxAttempts\":2,\"slackFactor\":2.2}],\"services\":"
      "[],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144}}";
static const char graph[]
    = "{\"id\":\"5c0e7a21d94b36f8\",\"queue\":\"q\",\"service\":\"s\","
      "\"shard\":\"s1\",\"spec\":\"x\",\"accepted\":5,\"steps\":[{\"tasks\":3,"
      "\"cores\":100,\"memory\":5,\"flags\":8,\"after\":[]}],\"run_base\":2,"
      "\"share\":[[0,1],[2,17]]}";
static const char progress[]
    = "{\"phase\":\"active\",\"tasks\":[[0,2,1,1,3],[1,1,0,0,1,\"c-00ff\"],"
      "[2,3,0,0,1,\"c-00ff\",0,4]]}";
static const char summary[]
    = "{\"ended\":\"failed\",\"id\":\"5c0e7a21d94b36f8\",\"queue\":\"q\","
      "\"shard\":\"s1\",\"accepted\":5}";

static unsigned
random_below (unsigned n)
{
  return (unsigned)rand_r (&seed) % n;
}

static void
write_piece (char *out, const char *piece)
{
  while (*piece != '\0')
    *out++ = *piece++;
}

/* Changes TEXT, of LENGTH bytes, in one place.  Returns the new length.  */
static size_t
mutate (char *text, size_t length)
{
  static const char *const pieces[] = { "null",
                                        "-1",
                                        "[]",
                                        "{}",
                                        "\"\"",
                                        "1e400",
                                        "99999999999999999999",
                                        "true",
                                        "\\u0000",
                                        "\xff\xfe",
                                        ",",
                                        ":" };
  if (length == 0)
    return 0;
  size_t at = random_below ((unsigned)length);
  const char *piece = pieces[random_below (sizeof pieces / sizeof pieces[0])];
  size_t n = strlen (piece);
  switch (random_below (5))
    {
    case 0:
      text[at] = (char)random_below (256);
      return length;
    case 1:
      return at;
    case 2:
      memmove (text + at, text + at + 1, length - at - 1);
      return length - 1;
    case 3:
      if (length + n >= DOCUMENT_MAX)
        return length;
      memmove (text + at + n, text + at, length - at);
      write_piece (text + at, piece);
      return length + n;
    default:
      if (at + n < length)
        write_piece (text + at, piece);
      return length;
    }
}

static void
decode_all (const char *text, size_t length)
{
  struct rr_error err = { 0 };
  struct platform_worker w;
  struct rr_job_summary s;
  rr_job_graph_free (
      platform_job_decode ("5c0e7a21d94b36f8", text, length, &err));
  platform_worker_decode ("servers/i-1", text, length, &w, &err);
  platform_worker_digest (text, length);
  rr_queues_free (platform_config_decode (text, length, &err));
  rr_job_graph_free (rr_job_graph_decode (text, length, &err));
  rr_progress_free (rr_progress_decode (text, length, &err));
  rr_job_summary_decode (text, length, &s);
}

START_TEST (mutated_documents)
{
  static const char *const documents[]
      = { job, worker, config, graph, progress, summary };
  char text[DOCUMENT_MAX + 1];
  for (int i = 0; i < ROUNDS; i++)
    {
      snprintf (
          text, sizeof text, "%s",
          documents[random_below (sizeof documents / sizeof documents[0])]);
      size_t length = strlen (text);
      for (unsigned n = 1 + random_below (MUTATIONS_MAX); n > 0; n--)
        length = mutate (text, length);
      text[length] = '\0';
      /* A copy of the exact size, so that the sanitizers see a read beyond
         it.  */
      char *exact = malloc (length + 1);
      memcpy (exact, text, length + 1);
      decode_all (exact, length);
      free (exact);
    }
}
END_TEST

START_TEST (deep_nesting)
{
  char text[NESTED_MAX + 1];
  memset (text, '[', NESTING);
  memset (text + NESTING, ']', NESTING);
  text[NESTED_MAX] = '\0';
  decode_all (text, strlen (text));
  memset (text, '[', sizeof text - 1);
  decode_all (text, strlen (text));
}
END_TEST

int
main (int argc, char **argv)
{
  if (argc > 1)
    seed = (unsigned)strtoul (argv[1], NULL, 10);
  Suite *suite = suite_create ("mutations");
  TCase *tc = tcase_create ("decoders");
  tcase_set_timeout (tc, 60);
  tcase_add_test (tc, mutated_documents);
  tcase_add_test (tc, deep_nesting);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
