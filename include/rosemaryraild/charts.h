#ifndef ROSEMARYRAILD_CHARTS_H
#define ROSEMARYRAILD_CHARTS_H

#include "rosemaryrail/chart.h"

struct rr_chart *chart_load_file (const char *directory, const char *name,
                                  struct rr_error *err);

#endif
