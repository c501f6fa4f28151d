#ifndef ROSEMARYENTRYD_CONFIG_VIEW_H
#define ROSEMARYENTRYD_CONFIG_VIEW_H

#include "rosemaryentryd/entry.h"

/* The configuration that this daemon has put in force, and as of when it is
   known to be the newest.  It comes from the store, and while the store does
   not tell, from other daemons.  A version never goes back.  */
struct config_view;

#define CONFIG_AGE_NEVER                                                      \
  INT64_C (1000000000000) /* 31 years, in milliseconds */

enum config_source
{
  CONFIG_FROM_STORE,
  CONFIG_FROM_PEER
};

/* A configuration as it was read.  */
struct config_document
{
  const char *text;
  size_t length;
  enum config_source source;
  const char *origin; /* name of the daemon, or the key in the store */
  int64_t revision;   /* in the store; 0: not known */
};

struct config_view *config_view_open (struct entry *e);
void config_view_follow (struct config_view *v);
bool config_view_apply (struct config_view *v,
                        const struct config_document *d);
void config_view_confirm (struct config_view *v, int64_t version,
                          struct rr_time at);
int64_t config_view_version (const struct config_view *v);
const char *config_view_text (const struct config_view *v);
int64_t config_view_age_ms (const struct config_view *v);
bool config_view_current (const struct config_view *v);

#endif
