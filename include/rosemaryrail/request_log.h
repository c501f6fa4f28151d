#ifndef ROSEMARYRAIL_REQUEST_LOG_H
#define ROSEMARYRAIL_REQUEST_LOG_H

#include "rosemaryrail/clock.h"
#include "rosemaryrail/record.h"
#include "rosemaryrail/table.h"

/* Grants and results of a shard's non-repeatable requests (design section
   5.4).  */
struct rr_request_log;

enum rr_request_state
{
  /* Not recorded, or recorded as not run: a grant is allowed.  */
  RR_REQUEST_NEW = 0,
  RR_REQUEST_PENDING, /* a grant is queued or in flight */
  RR_REQUEST_GRANTED, /* granted; the outcome is unknown until a result */
  RR_REQUEST_DONE     /* result recorded: answered or unknown */
};

/* State of one request.  BODY points into the log and stays valid until the
   log changes.  */
struct rr_request_entry
{
  enum rr_request_state state;
  char holder[RR_NAME_MAX + 1];
  uint64_t holder_incarnation;
  uint64_t ask;
  int64_t granted_ms;  /* wall clock */
  int64_t deadline_ms; /* wall clock */
  enum rr_request_outcome outcome;
  uint32_t status;
  char content_type[RR_NAME_MAX + 1];
  bool body_kept;
  const uint8_t *body;
  uint32_t body_length;
};

struct rr_request_log *rr_request_log_new (void);
void rr_request_log_free (struct rr_request_log *l);
size_t rr_request_log_count (const struct rr_request_log *l);
size_t rr_request_log_size (const struct rr_request_log *l);
struct rr_request_entry rr_request_log_find (const struct rr_request_log *l,
                                             const char *request);
bool rr_request_log_apply (struct rr_request_log *l, const struct rr_record *r,
                           struct rr_error *err);
void rr_request_log_mark_pending (struct rr_request_log *l,
                                  const struct rr_record *r, bool pending);
bool rr_request_log_expired (const struct rr_request_log *l,
                             int64_t retention_ms, int64_t wall_ms,
                             struct rr_record *record);

#endif
