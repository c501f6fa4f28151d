#include <check.h>
#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/settings.h"

enum
{
  ROUNDS = 4000,
  EXAMPLE_MAX = 65536,
};

static const char *const tokens[] = { "{",
                                      "}",
                                      "[",
                                      "]",
                                      ",",
                                      ":",
                                      "\"",
                                      "\\",
                                      "//",
                                      "/*",
                                      "*/",
                                      "null",
                                      "true",
                                      "NaN",
                                      "Infinity",
                                      "-1",
                                      "1e400",
                                      "99999999999999999",
                                      "\\u0000",
                                      "\xff",
                                      "\n",
                                      "\"name\":",
                                      "\"team\":\"x\"," };

static size_t
read_example (const char *variable, char *text)
{
  const char *path = getenv (variable);
  ck_assert_ptr_nonnull (path);
  FILE *in = fopen (path, "re");
  ck_assert_ptr_nonnull (in);
  size_t length = fread (text, 1, EXAMPLE_MAX, in);
  fclose (in);
  ck_assert_uint_gt (length, 0);
  return length;
}

/* Applies one random change to TEXT, whose buffer is large enough for the
   result, and returns the new length.  */
static size_t
mutate (gsl_rng *rng, char *text, size_t length)
{
  size_t at = gsl_rng_uniform_int (rng, length);
  size_t n = 1 + gsl_rng_uniform_int (rng, 12);
  const char *token
      = tokens[gsl_rng_uniform_int (rng, sizeof tokens / sizeof tokens[0])];
  size_t token_length = strlen (token);
  if (n > length - at)
    n = length - at;
  switch (gsl_rng_uniform_int (rng, 5))
    {
    case 0: /* one byte replaced */
      text[at] = (char)gsl_rng_uniform_int (rng, 256);
      return length;
    case 1: /* bytes removed */
      memmove (text + at, text + at + n, length - at - n);
      return length - n;
    case 2: /* bytes duplicated */
      memmove (text + at + n, text + at, length - at);
      return length + n;
    case 3: /* a token inserted */
      memmove (text + at + token_length, text + at, length - at);
      for (size_t i = 0; i < token_length; i++)
        text[at + i] = token[i];
      return length + token_length;
    default: /* end truncated */
      return at == 0 ? 1 : at;
    }
}

static void
assert_errors_have_locations (const struct rr_config_errors *errors,
                              const char *text, size_t length)
{
  unsigned lines = 1;
  for (size_t i = 0; i < length; i++)
    lines += text[i] == '\n';
  ck_assert_uint_ge (errors->count, 1);
  for (size_t i = 0; i < errors->count; i++)
    {
      const struct rr_config_error *e = &errors->items[i];
      ck_assert_str_eq (e->file, "m");
      ck_assert_msg (e->line >= 1 && e->line <= lines, "line %u of %u",
                     e->line, lines);
      ck_assert_uint_ge (e->column, 1);
      ck_assert_uint_le (e->column, length + 1);
      ck_assert_uint_gt (strlen (e->message), 0);
    }
}

static void
check_configuration (const struct rr_config_file *file)
{
  struct rr_config_errors errors = { 0 };
  struct rr_config *c
      = rr_config_parse (file, 1, rr_config_parameters (), &errors);
  if (c == NULL)
    assert_errors_have_locations (&errors, file->text, file->length);
  else
    {
      struct rr_config_parts parts;
      rr_config_split (c, &parts);
      struct rr_config *back
          = rr_config_join (&parts, rr_config_parameters (), &errors);
      ck_assert_ptr_nonnull (back);
      char *diff = rr_config_diff (c, back);
      ck_assert_str_eq (diff, "");
      free (diff);
      rr_config_free (back);
      rr_config_parts_free (&parts);
    }
  rr_config_free (c);
  rr_config_errors_free (&errors);
}

static void
check_settings (const struct rr_config_file *file)
{
  struct rr_config_errors errors = { 0 };
  struct settings s;
  if (settings_parse (file, NULL, 0, &s, &errors))
    settings_free (&s);
  else
    assert_errors_have_locations (&errors, file->text, file->length);
  rr_config_errors_free (&errors);
}

static void
run_mutations (const char *variable,
               void (*check_file) (const struct rr_config_file *f))
{
  char *example = malloc (EXAMPLE_MAX);
  char *text = malloc (EXAMPLE_MAX + 1000);
  size_t example_length = read_example (variable, example);
  gsl_rng *rng = gsl_rng_alloc (gsl_rng_mt19937);
  for (unsigned long seed = 1; seed <= ROUNDS; seed++)
    {
      gsl_rng_set (rng, seed);
      memcpy (text, example, example_length);
      size_t length = example_length;
      for (size_t n = 1 + gsl_rng_uniform_int (rng, 3); n > 0; n--)
        length = mutate (rng, text, length);
      /* A copy in a buffer of exactly this size, so that ASan detects reads
         past the end.  */
      char *exact = malloc (length);
      memcpy (exact, text, length);
      check_file (&(struct rr_config_file){ "m", exact, length });
      free (exact);
    }
  gsl_rng_free (rng);
  free (example);
  free (text);
}

/* Guards against corrupted files that crash the parser, are rejected without a
   source location, or are accepted and change when split and joined.  */
START_TEST (mutated_heshima)
{
  run_mutations ("HESHIMA_EXAMPLE", check_configuration);
}
END_TEST

START_TEST (mutated_kamnik)
{
  run_mutations ("KAMNIK_EXAMPLE", check_configuration);
}
END_TEST

START_TEST (mutated_settings)
{
  run_mutations ("DAEMON_EXAMPLE", check_settings);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("mutations");
  TCase *t = tcase_create ("core");
  tcase_set_timeout (t, 300);
  tcase_add_test (t, mutated_heshima);
  tcase_add_test (t, mutated_kamnik);
  tcase_add_test (t, mutated_settings);
  suite_add_tcase (s, t);
  SRunner *r = srunner_create (s);
  srunner_run_all (r, CK_NORMAL);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
