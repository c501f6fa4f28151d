#include "rosemaryraild/request_chart.h"

#include "common/log.h"
#include "rosemaryraild/charts.h"

/* Loads the chart of requests from DIRECTORY.  */
bool
request_chart_open (struct request_chart *c, const char *directory,
                    struct rr_error *err)
{
  const struct rr_chart_name states[] = { { "answered", &c->answered },
                                          { "not_run", &c->not_run },
                                          { "unknown", &c->unknown },
                                          { NULL, NULL } };
  const struct rr_chart_name events[]
      = { { "ask", &c->ask },
          { "go", &c->go },
          { "held", &c->held },
          { "recorded_answer", &c->recorded_answer },
          { "recorded_not_run", &c->recorded_not_run },
          { "recorded_unknown", &c->recorded_unknown },
          { "not_attempted", &c->not_attempted },
          { "unresolved", &c->unresolved },
          { "queue", &c->queue },
          { "rejected", &c->rejected },
          { "send", &c->send },
          { "response", &c->response },
          { "refused", &c->refused },
          { "refused_last", &c->refused_last },
          { "lost", &c->lost },
          { "lost_last", &c->lost_last },
          { "deadline", &c->deadline },
          { NULL, NULL } };
  c->chart = chart_load_file (directory, "request", err);
  return c->chart != NULL && rr_chart_bind_states (c->chart, states, err)
         && rr_chart_bind_events (c->chart, events, err);
}

/* Puts R into the chart's initial state.  */
void
request_begin (const struct request_chart *c, struct request *r)
{
  r->state = rr_chart_initial (c->chart);
}

/* Moves R along the chart.  An event that its state does not allow is logged
   and makes the outcome unknown, which is never a false statement.  */
bool
request_apply_event (const struct request_chart *c, struct request *r,
                     int event)
{
  int next = rr_chart_next (c->chart, r->state, event);
  if (next != RR_CHART_NONE)
    {
      r->state = next;
      return true;
    }
  log_event (LOG_LEVEL_ERROR, "request_event_refused",
             "request=%s state=%s on=%s", r->id,
             rr_chart_state_name (c->chart, r->state),
             rr_chart_event_name (c->chart, event));
  r->state = c->unknown;
  return false;
}

/* Returns the outcome that the state of R stands for.  */
enum rr_outcome
request_outcome (const struct request_chart *c, const struct request *r)
{
  if (r->state == c->answered)
    return RR_OUTCOME_ANSWERED;
  return r->state == c->not_run ? RR_OUTCOME_NOT_RUN : RR_OUTCOME_UNKNOWN;
}
