#ifndef BENCH_COST_H
#define BENCH_COST_H

#include <stdio.h>

void cost_run (FILE *out, FILE *csv, unsigned seed, int iterations);

#endif
