#ifndef ROSEMARYRAIL_JOB_PRIVATE_H
#define ROSEMARYRAIL_JOB_PRIVATE_H

#include "rosemaryrail/job.h"
#include "rosemaryrail/request_log.h"
#include "xdr_fields.h"

enum
{
  /* Bytes reserved in the state for the result, without a body, of each
     granted request.  */
  RR_RESULT_RESERVE = 20 + RR_NAME_MAX
};

struct rr_job_row
{
  struct rr_job job;
  size_t size;         /* bytes reserved in a snapshot */
  bool forget_pending; /* a "forgotten" record is queued */
};

struct rr_job_store
{
  struct rr_table *rows;
  struct rr_key_index *by_id;
  size_t size;
};

struct rr_request_row
{
  char *id;
  struct rr_request_entry entry; /* owns its body */
  bool recorded;                 /* false: only queued grants so far */
  uint32_t pending;              /* queued grants */
  size_t size;                   /* bytes reserved in a snapshot */
};

struct rr_request_log
{
  struct rr_table *rows;
  struct rr_key_index *by_id;
  size_t recorded;
  size_t size;
};

struct rr_job_row *rr_job_store_add (struct rr_job_store *s, const char *job,
                                     uint32_t tasks);
size_t rr_job_encoded_size (struct rr_job *job);
bool rr_job_store_xdr (XDR *x, struct rr_job_store *s);
struct rr_request_row *rr_request_log_add (struct rr_request_log *l,
                                           const char *request);
size_t rr_request_row_size (const struct rr_request_row *row);
bool rr_request_log_xdr (XDR *x, struct rr_request_log *l);

#endif
