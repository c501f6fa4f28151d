#include <curl/curl.h>
#include <stdio.h>
#include <string.h>

#include "rosemaryctl/ctl.h"

struct command
{
  const char *name;
  const char *summary;
  int (*run) (int argc, char **argv);
};

static const struct command commands[] = {
  { "check", "check configuration files", command_check },
  { "diff", "show what files would change", command_diff },
  { "apply", "put configuration files in force", command_apply },
  { "get", "print the configuration in force", command_get },
  { "status", "show daemons, workers, shards and alarms", command_status },
  { "jobs", "list the jobs", command_jobs },
  { "job", "show one job and its history", command_job },
  { "explain", "tell why tasks of a job wait", command_explain },
  { "cancel", "cancel a job", command_cancel },
  { "submit", "submit a job", command_submit },
  { "drain", "stop new work on a VM", command_drain },
  { "undrain", "allow new work on a VM again", command_undrain },
  { "histograms", "draw latency histograms", command_histograms },
};

enum
{
  COMMAND_COUNT = sizeof commands / sizeof commands[0]
};

static void
print_help (FILE *out)
{
  fprintf (out, "Usage: rosemaryctl COMMAND [OPTION]... [ARGUMENT]...\n\n");
  for (size_t i = 0; i < COMMAND_COUNT; i++)
    fprintf (out, "  %-12s%s\n", commands[i].name, commands[i].summary);
  fprintf (out, "\nEach command has --help; see rosemaryctl(1).\n");
}

int
main (int argc, char **argv)
{
  if (argc < 2)
    {
      print_help (stderr);
      return CTL_USAGE;
    }
  if (strcmp (argv[1], "--help") == 0 || strcmp (argv[1], "help") == 0)
    {
      print_help (stdout);
      return CTL_OK;
    }
  for (size_t i = 0; i < COMMAND_COUNT; i++)
    if (strcmp (argv[1], commands[i].name) == 0)
      {
        curl_global_init (CURL_GLOBAL_DEFAULT);
        int rc = commands[i].run (argc - 1, argv + 1);
        curl_global_cleanup ();
        return rc;
      }
  fprintf (stderr,
           "rosemaryctl: unknown command \"%s\"; try \"rosemaryctl --help\"\n",
           argv[1]);
  return CTL_USAGE;
}
