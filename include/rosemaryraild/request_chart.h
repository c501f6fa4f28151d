#ifndef ROSEMARYRAILD_REQUEST_CHART_H
#define ROSEMARYRAILD_REQUEST_CHART_H

#include "rosemaryrail/chart.h"
#include "rosemaryraild/message.h"

/* Numbers of the states and events of charts/request.jsonc.  */
struct request_chart
{
  struct rr_chart *chart;
  int answered, not_run, unknown;
  int ask, go, held, recorded_answer, recorded_not_run, recorded_unknown,
      not_attempted, unresolved, queue, rejected, send, response, refused,
      refused_last, lost, lost_last, deadline;
};

bool request_chart_open (struct request_chart *c, const char *directory,
                         struct rr_error *err);
void request_begin (const struct request_chart *c, struct request *r);
bool request_apply_event (const struct request_chart *c, struct request *r,
                          int event);
enum rr_outcome request_outcome (const struct request_chart *c,
                                 const struct request *r);

#endif
