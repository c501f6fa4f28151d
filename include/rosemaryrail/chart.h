#ifndef ROSEMARYRAIL_CHART_H
#define ROSEMARYRAIL_CHART_H

#include <stdbool.h>
#include <stddef.h>

#include "rosemaryrail/error.h"

/* Returned by rr_chart_next when the state does not allow the event, and by
   the look-ups when the name is unknown.  */
#define RR_CHART_NONE (-1)

/* A state chart loaded from charts/NAME.jsonc.  States and events are small
   integers from 0, in the order of the file.  */
struct rr_chart;

/* Associates the name of a state or event with the variable that receives its
   number.  */
struct rr_chart_name
{
  const char *name;
  int *value;
};

/* Parses and checks LENGTH bytes of TEXT.  FILE is used in error messages
   only.  On failure returns null with RR_ERROR_INVALID and a message with the
   file and the offending name.  */
struct rr_chart *rr_chart_load (const char *file, const char *text,
                                size_t length, struct rr_error *err);
void rr_chart_free (struct rr_chart *c);

/* Look up the numbers of states and events by name, once at startup.  An
   unknown name fails with RR_ERROR_NOT_FOUND.  The bind functions take an
   array that ends with a null name and set every variable in it.  */
int rr_chart_state (const struct rr_chart *c, const char *name,
                    struct rr_error *err);
int rr_chart_event (const struct rr_chart *c, const char *name,
                    struct rr_error *err);
bool rr_chart_bind_states (const struct rr_chart *c,
                           const struct rr_chart_name *names,
                           struct rr_error *err);
bool rr_chart_bind_events (const struct rr_chart *c,
                           const struct rr_chart_name *names,
                           struct rr_error *err);

/* Returns the state after EVENT, or RR_CHART_NONE when STATE does not allow
   it.  */
int rr_chart_next (const struct rr_chart *c, int state, int event);
int rr_chart_initial (const struct rr_chart *c);
bool rr_chart_is_final (const struct rr_chart *c, int state);

const char *rr_chart_name (const struct rr_chart *c);
const char *rr_chart_description (const struct rr_chart *c);
const char *rr_chart_state_name (const struct rr_chart *c, int state);
const char *rr_chart_event_name (const struct rr_chart *c, int event);
int rr_chart_state_count (const struct rr_chart *c);
int rr_chart_event_count (const struct rr_chart *c);

#endif
