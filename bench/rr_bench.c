#include <argtable2.h>
#include <stdlib.h>
#include <string.h>

#include "cost.h"
#include "report.h"

#define EXIT_USAGE 2

/* Parses a list like "1-5" or "101,103" into SEEDS; returns their number, or
   0 when TEXT is malformed.  */
static int
seeds_parse (const char *text, unsigned *seeds)
{
  int count = 0;
  while (*text != '\0')
    {
      char *end;
      unsigned long first = strtoul (text, &end, 10);
      unsigned long last = first;
      if (end == text)
        return 0;
      if (*end == '-')
        {
          text = end + 1;
          last = strtoul (text, &end, 10);
          if (end == text || last < first)
            return 0;
        }
      for (unsigned long s = first; s <= last; s++)
        {
          if (count == SEEDS_MAX)
            return 0;
          seeds[count++] = (unsigned)s;
        }
      if (*end == ',')
        end++;
      else if (*end != '\0')
        return 0;
      text = end;
    }
  return count;
}

/* Marks the choosers named in TEXT, a comma-separated list, in RAN.  */
static bool
choosers_parse (const char *text, bool *ran)
{
  char copy[200];
  snprintf (copy, sizeof copy, "%s", text);
  char *rest = copy;
  char *name;
  while ((name = strsep (&rest, ",")) != NULL)
    {
      int c = 0;
      while (c < CHOOSERS
             && strcmp (name, chooser_name ((enum chooser)c)) != 0)
        c++;
      if (c == CHOOSERS)
        return false;
      ran[c] = true;
    }
  return true;
}

/* Applies a setting NAME=VALUE to POLICY.  */
static bool
policy_apply (struct rr_policy *policy, const char *text, struct rr_error *err)
{
  char name[80];
  const char *equals = strchr (text, '=');
  if (equals == NULL || (size_t)(equals - text) >= sizeof name)
    return rr_error_set (err, RR_ERROR_INVALID, "%s: not NAME=VALUE", text);
  memcpy (name, text, (size_t)(equals - text));
  name[equals - text] = '\0';
  char *end;
  double value = strtod (equals + 1, &end);
  if (end == equals + 1 || *end != '\0')
    return rr_error_set (err, RR_ERROR_INVALID, "%s: not a number", text);
  return rr_policy_set (policy, name, value, err);
}

/* Runs every chooser and seed of REPORT in the closed loop.  */
static void
loop_all (struct report *report, const struct rr_policy *policy)
{
  for (int c = 0; c < CHOOSERS; c++)
    for (int i = 0; report->ran[c] && i < report->seed_count; i++)
      {
        struct loop_options options = { .deployment = report->deployment,
                                        .policy = policy,
                                        .chooser = (enum chooser)c,
                                        .seed = report->seeds[i] };
        loop_run (&options, &report->results[c][i]);
      }
}

/* Prints the table of parameters as rows of docs/policy.md.  */
static void
parameters_print (void)
{
  size_t count;
  const struct rr_policy_parameter *p = rr_policy_parameters (&count);
  for (size_t i = 0; i < count; i++)
    printf ("| %s | %s | %g | %g | %g | %s |\n", p[i].name, p[i].unit,
            p[i].minimum, p[i].maximum, p[i].fallback, p[i].meaning);
}

static void
report_release (struct report *report)
{
  for (int c = 0; c < CHOOSERS; c++)
    for (int i = 0; report->ran[c] && i < report->seed_count; i++)
      for (int k = 0; k < SEGMENTS; k++)
        metrics_release (&report->results[c][i].segment[k]);
}

/* Runs the closed loop for the deployments that NAME selects.  */
static int
loop_command (const char *name, const char *seeds, const char *choosers,
              const struct rr_policy *policy, bool per_seed, bool check,
              FILE *csv)
{
  int status = EXIT_SUCCESS;
  static struct report report;
  int matched = 0;
  if (csv != NULL)
    report_csv_header (csv);
  for (int d = 0; d < 2; d++)
    {
      if (strcmp (name, "all") != 0 && strcmp (name, deployments[d].name) != 0)
        continue;
      matched++;
      memset (&report, 0, sizeof report);
      report.deployment = &deployments[d];
      report.seed_count = seeds_parse (seeds, report.seeds);
      if (report.seed_count == 0 || !choosers_parse (choosers, report.ran))
        {
          fprintf (stderr, "rr-bench: bad list of seeds or choosers\n");
          return EXIT_USAGE;
        }
      loop_all (&report, policy);
      report_text (&report, per_seed, stdout);
      if (csv != NULL)
        report_csv (&report, csv);
      if (check && !report_check (&report, stdout))
        status = EXIT_FAILURE;
      report_release (&report);
    }
  if (matched == 0)
    fprintf (stderr, "rr-bench: no deployment \"%s\"\n", name);
  return matched > 0 ? status : EXIT_USAGE;
}

int
main (int argc, char **argv)
{
  struct arg_str *command = arg_str1 (NULL, NULL, "cost|loop|parameters",
                                      "cost of each decision, policy in a "
                                      "closed loop, or table of parameters");
  struct arg_str *deployment
      = arg_str0 ("d", "deployment", "NAME", "heshima, kamnik or all (all)");
  struct arg_str *seeds
      = arg_str0 ("s", "seeds", "LIST", "like 1-5 or 101,103 (1-5)");
  struct arg_str *choosers = arg_str0 (
      "c", "choosers", "LIST",
      "of policy, first-fit, least-loaded, two-choices, no-batch (all)");
  struct arg_str *set
      = arg_strn (NULL, "set", "NAME=VALUE", 0, 40, "policy parameter");
  struct arg_int *iterations = arg_int0 (
      "n", "iterations", "N", "calls measured of each decision (20000)");
  struct arg_file *csv_file = arg_file0 (NULL, "csv", "FILE", "rows as CSV");
  struct arg_lit *per_seed
      = arg_lit0 (NULL, "per-seed", "figures of each seed as text");
  struct arg_lit *check = arg_lit0 (
      NULL, "check", "fail when a target of the design page is missed");
  struct arg_lit *help = arg_lit0 ("h", "help", "print this help");
  struct arg_end *end = arg_end (10);
  void *table[] = { command,  deployment, seeds, choosers, set, iterations,
                    csv_file, per_seed,   check, help,     end };
  if (arg_nullcheck (table) != 0)
    return EXIT_FAILURE;
  deployment->sval[0] = "all";
  seeds->sval[0] = "1-5";
  choosers->sval[0] = "policy,first-fit,least-loaded,two-choices,no-batch";
  iterations->ival[0] = 20000;
  int errors = arg_parse (argc, argv, table);
  int status = EXIT_SUCCESS;
  struct rr_policy policy;
  struct rr_error err = { 0 };
  FILE *csv = NULL;
  rr_policy_init (&policy);
  for (int i = 0; i < set->count; i++)
    policy_apply (&policy, set->sval[i], &err);
  if (help->count > 0)
    {
      printf ("Usage: rr-bench");
      arg_print_syntax (stdout, table, "\n");
      arg_print_glossary (stdout, table, "  %-26s %s\n");
    }
  else if (errors > 0 || iterations->ival[0] < 1)
    {
      arg_print_errors (stderr, end, "rr-bench");
      status = EXIT_USAGE;
    }
  else if (err.code != RR_OK || !rr_policy_check (&policy, &err))
    {
      fprintf (stderr, "rr-bench: %s\n", err.message);
      status = EXIT_USAGE;
    }
  else if (csv_file->count > 0
           && (csv = fopen (csv_file->filename[0], "w")) == NULL)
    {
      perror (csv_file->filename[0]);
      status = EXIT_FAILURE;
    }
  else if (strcmp (command->sval[0], "cost") == 0)
    cost_run (stdout, csv, 1, iterations->ival[0]);
  else if (strcmp (command->sval[0], "parameters") == 0)
    parameters_print ();
  else if (strcmp (command->sval[0], "loop") != 0)
    {
      fprintf (stderr, "rr-bench: no command \"%s\"\n", command->sval[0]);
      status = EXIT_USAGE;
    }
  else
    status
        = loop_command (deployment->sval[0], seeds->sval[0], choosers->sval[0],
                        &policy, per_seed->count > 0, check->count > 0, csv);
  if (csv != NULL)
    fclose (csv);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}
