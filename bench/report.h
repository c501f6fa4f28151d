#ifndef BENCH_REPORT_H
#define BENCH_REPORT_H

#include <stdio.h>

#include "loop.h"

#define SEEDS_MAX 32

/* Results of all choosers over the seeds of one deployment.  */
struct report
{
  const struct deployment *deployment;
  int seed_count;
  unsigned seeds[SEEDS_MAX];
  bool ran[CHOOSERS];
  struct loop_result results[CHOOSERS][SEEDS_MAX];
};

void report_text (const struct report *r, bool per_seed, FILE *out);
bool report_check (const struct report *r, FILE *out);
void report_csv (const struct report *r, FILE *out);
void report_csv_header (FILE *out);

#endif
