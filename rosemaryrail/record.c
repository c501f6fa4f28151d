#include "rosemaryrail/record.h"

#include <stdlib.h>
#include <string.h>

#include "xdr_fields.h"

/* Returns the name of KIND as it appears in histories and logs.  */
const char *
rr_record_kind_name (enum rr_record_kind kind)
{
  switch (kind)
    {
    case RR_RECORD_OWNERSHIP_TAKEN:
      return "ownership-taken";
    case RR_RECORD_OWNERSHIP_RELEASED:
      return "ownership-released";
    case RR_RECORD_JOB_SUBMITTED:
      return "submitted";
    case RR_RECORD_JOB_CANCELLED:
      return "cancelled";
    case RR_RECORD_JOB_NOTED:
      return "noted";
    case RR_RECORD_JOB_FORGOTTEN:
      return "forgotten";
    case RR_RECORD_ATTEMPT_PLACED:
      return "placed";
    case RR_RECORD_ATTEMPT_RUNNING:
      return "running";
    case RR_RECORD_ATTEMPT_ENDED:
      return "ended";
    case RR_RECORD_GRANT_EXTENDED:
      return "grant-extended";
    case RR_RECORD_REQUEST_GRANTED:
      return "request-granted";
    case RR_RECORD_REQUEST_RESULT:
      return "request-result";
    case RR_RECORD_REQUESTS_EXPIRED:
      return "requests-expired";
    }
  return "invalid";
}

/* Returns the name of RESULT as it appears in histories.  */
const char *
rr_attempt_result_name (enum rr_attempt_result result)
{
  switch (result)
    {
    case RR_RESULT_SUCCEEDED:
      return "succeeded";
    case RR_RESULT_FAILED:
      return "failed";
    case RR_RESULT_EVICTED:
      return "evicted";
    case RR_RESULT_STOPPED:
      return "stopped";
    case RR_RESULT_LOST:
      return "lost";
    case RR_RESULT_NEVER_STARTED:
      return "never-started";
    }
  return "invalid";
}

/* Returns the name of PROOF as it appears in histories.  */
const char *
rr_end_proof_name (enum rr_end_proof proof)
{
  switch (proof)
    {
    case RR_PROOF_REPORTED:
      return "reported";
    case RR_PROOF_SEALED:
      return "sealed";
    case RR_PROOF_REFUSED:
      return "refused";
    case RR_PROOF_LEASE_EXPIRED:
      return "lease-expired";
    case RR_PROOF_INCARNATION_GONE:
      return "incarnation-gone";
    case RR_PROOF_GRANT_EXPIRED:
      return "grant-expired";
    case RR_PROOF_NOT_SENT:
      return "not-sent";
    }
  return "invalid";
}

static bool
xdr_job_submitted (XDR *x, struct rr_record_job_submitted *p)
{
  return rr_xdr_text (x, p->job, RR_NAME_MAX)
         && rr_xdr_text (x, p->team, RR_NAME_MAX)
         && rr_xdr_text (x, p->job_class, RR_NAME_MAX)
         && rr_xdr_text (x, p->service, RR_NAME_MAX)
         && RR_XDR_ENUM (x, p->kind, RR_JOB_SERVICE)
         && rr_xdr_u32 (x, &p->tasks) && p->tasks >= 1
         && p->tasks <= RR_TASKS_MAX && rr_xdr_u32 (x, &p->cores_milli)
         && rr_xdr_u32 (x, &p->memory_mb) && rr_xdr_u32 (x, &p->accelerators)
         && rr_xdr_i64 (x, &p->work_ms) && rr_xdr_flag (x, &p->urgent)
         && rr_xdr_i64 (x, &p->isolation_limit_ms)
         && p->isolation_limit_ms >= 0 && rr_xdr_i32 (x, &p->priority)
         && rr_xdr_u32 (x, &p->weight_milli)
         && rr_xdr_u32 (x, &p->max_failures) && p->job[0] != '\0';
}

static bool
xdr_attempt_placed (XDR *x, struct rr_record_attempt_placed *p)
{
  return rr_xdr_text (x, p->job, RR_NAME_MAX) && rr_xdr_u32 (x, &p->task)
         && rr_xdr_u32 (x, &p->attempt)
         && rr_xdr_text (x, p->worker, RR_NAME_MAX)
         && rr_xdr_text (x, p->zone, RR_NAME_MAX)
         && rr_xdr_u64 (x, &p->worker_incarnation)
         && rr_xdr_u64 (x, &p->controller_epoch)
         && rr_xdr_i64 (x, &p->void_after_ms)
         && rr_xdr_i64 (x, &p->granted_until_ms);
}

static bool
xdr_attempt_ended (XDR *x, struct rr_record_attempt_ended *p)
{
  return rr_xdr_text (x, p->job, RR_NAME_MAX) && rr_xdr_u32 (x, &p->task)
         && rr_xdr_u32 (x, &p->attempt)
         && RR_XDR_ENUM (x, p->result, RR_RESULT_NEVER_STARTED)
         && RR_XDR_ENUM (x, p->proof, RR_PROOF_NOT_SENT)
         && rr_xdr_text (x, p->checkpoint, RR_CHECKPOINT_MAX)
         && rr_xdr_text (x, p->detail, RR_TEXT_MAX);
}

static bool
xdr_request_result (XDR *x, struct rr_record_request_result *p)
{
  return rr_xdr_text (x, p->request, RR_REQUEST_ID_MAX)
         && rr_xdr_u64 (x, &p->holder_incarnation) && rr_xdr_u64 (x, &p->ask)
         && RR_XDR_ENUM (x, p->outcome, RR_REQUEST_UNKNOWN)
         && rr_xdr_u32 (x, &p->status)
         && rr_xdr_text (x, p->content_type, RR_NAME_MAX)
         && rr_xdr_flag (x, &p->body_kept)
         && rr_xdr_bytes (x, &p->body, RR_BODY_MAX);
}

/* Encodes or decodes one record.  R can own memory even after a failed
   decoding, so the caller must clear it in any case.  */
bool
rr_xdr_record (XDR *x, struct rr_record *r)
{
  uint32_t kind = (uint32_t)r->kind;
  if (!rr_xdr_enum (x, &kind, RR_RECORD_REQUESTS_EXPIRED)
      || kind < RR_RECORD_OWNERSHIP_TAKEN || !rr_xdr_i64 (x, &r->at_ms))
    return false;
  r->kind = kind;
  switch (r->kind)
    {
    case RR_RECORD_OWNERSHIP_TAKEN:
      return rr_xdr_text (x, r->u.ownership_taken.owner, RR_NAME_MAX)
             && rr_xdr_u64 (x, &r->u.ownership_taken.incarnation)
             && rr_xdr_u64 (x, &r->u.ownership_taken.takeover_number);
    case RR_RECORD_OWNERSHIP_RELEASED:
      return rr_xdr_text (x, r->u.ownership_released.successor, RR_NAME_MAX);
    case RR_RECORD_JOB_SUBMITTED:
      return xdr_job_submitted (x, &r->u.job_submitted);
    case RR_RECORD_JOB_CANCELLED:
      return rr_xdr_text (x, r->u.job_cancelled.job, RR_NAME_MAX)
             && rr_xdr_text (x, r->u.job_cancelled.reason, RR_TEXT_MAX);
    case RR_RECORD_JOB_NOTED:
      return rr_xdr_text (x, r->u.job_noted.job, RR_NAME_MAX)
             && rr_xdr_text (x, r->u.job_noted.text, RR_TEXT_MAX);
    case RR_RECORD_JOB_FORGOTTEN:
      return rr_xdr_text (x, r->u.job_forgotten.job, RR_NAME_MAX);
    case RR_RECORD_ATTEMPT_PLACED:
      return xdr_attempt_placed (x, &r->u.attempt_placed);
    case RR_RECORD_ATTEMPT_RUNNING:
      return rr_xdr_text (x, r->u.attempt_running.job, RR_NAME_MAX)
             && rr_xdr_u32 (x, &r->u.attempt_running.task)
             && rr_xdr_u32 (x, &r->u.attempt_running.attempt);
    case RR_RECORD_ATTEMPT_ENDED:
      return xdr_attempt_ended (x, &r->u.attempt_ended);
    case RR_RECORD_GRANT_EXTENDED:
      return rr_xdr_text (x, r->u.grant_extended.job, RR_NAME_MAX)
             && rr_xdr_u32 (x, &r->u.grant_extended.task)
             && rr_xdr_u32 (x, &r->u.grant_extended.attempt)
             && rr_xdr_i64 (x, &r->u.grant_extended.granted_until_ms);
    case RR_RECORD_REQUEST_GRANTED:
      return rr_xdr_text (x, r->u.request_granted.request, RR_REQUEST_ID_MAX)
             && rr_xdr_text (x, r->u.request_granted.holder, RR_NAME_MAX)
             && rr_xdr_u64 (x, &r->u.request_granted.holder_incarnation)
             && rr_xdr_u64 (x, &r->u.request_granted.ask)
             && rr_xdr_i64 (x, &r->u.request_granted.deadline_ms);
    case RR_RECORD_REQUEST_RESULT:
      return xdr_request_result (x, &r->u.request_result);
    case RR_RECORD_REQUESTS_EXPIRED:
      return rr_xdr_i64 (x, &r->u.requests_expired.until_ms);
    }
  return false;
}

/* Makes TO a deep copy of FROM; returns false if memory is exhausted.  */
bool
rr_record_copy (struct rr_record *to, const struct rr_record *from)
{
  *to = *from;
  if (from->kind != RR_RECORD_REQUEST_RESULT)
    return true;
  struct rr_bytes *b = &to->u.request_result.body;
  b->data = NULL;
  if (b->length == 0)
    return true;
  b->data = malloc (b->length);
  if (b->data == NULL)
    {
      b->length = 0;
      return false;
    }
  memcpy (b->data, from->u.request_result.body.data, b->length);
  return true;
}

/* Frees the memory that R owns and zeroes R.  */
void
rr_record_clear (struct rr_record *r)
{
  if (r->kind == RR_RECORD_REQUEST_RESULT)
    free (r->u.request_result.body.data);
  memset (r, 0, sizeof *r);
}

/* Returns the encoded size of R in bytes, or 0 if R cannot be encoded.  */
size_t
rr_record_size (const struct rr_record *r)
{
  uint8_t buffer[2048 + RR_BODY_MAX];
  size_t n = 0;
  if (!rr_record_encode (r, buffer, sizeof buffer, &n, NULL))
    return 0;
  return n;
}

/* Encodes R into BUFFER and stores the number of bytes in LENGTH.  Fails with
   RR_ERROR_INVALID if a field is out of range and with RR_ERROR_LIMIT if
   CAPACITY is too small.  */
bool
rr_record_encode (const struct rr_record *r, uint8_t *buffer, size_t capacity,
                  size_t *length, struct rr_error *err)
{
  XDR x;
  /* The XDR routines serve both directions and take a non-const pointer, hence
     the copy; encoding only reads it.  */
  struct rr_record copy = *r;
  xdrmem_create (&x, (char *)buffer, (u_int)capacity, XDR_ENCODE);
  bool ok = rr_xdr_record (&x, &copy);
  *length = xdr_getpos (&x);
  bool full = x.x_handy < 1024 && capacity < 2048 + RR_BODY_MAX;
  xdr_destroy (&x);
  if (ok)
    return true;
  return rr_error_set (err, full ? RR_ERROR_LIMIT : RR_ERROR_INVALID,
                       "record \"%s\" %s", rr_record_kind_name (r->kind),
                       full ? "does not fit into the buffer"
                            : "has a field out of range");
}

/* Decodes one record from DATA into R, which then owns its memory, and stores
   the number of bytes consumed in USED.  Malformed input fails with
   RR_ERROR_INVALID and leaves R cleared.  */
bool
rr_record_decode (struct rr_record *r, const uint8_t *data, size_t length,
                  size_t *used, struct rr_error *err)
{
  XDR x;
  memset (r, 0, sizeof *r);
  if (length > INT32_MAX)
    return rr_error_set (err, RR_ERROR_INVALID, "record input too long");
  xdrmem_create (&x, (char *)data, (u_int)length, XDR_DECODE);
  bool ok = rr_xdr_record (&x, r);
  *used = xdr_getpos (&x);
  xdr_destroy (&x);
  if (ok)
    return true;
  rr_record_clear (r);
  return rr_error_set (err, RR_ERROR_INVALID, "malformed record at byte %zu",
                       *used);
}
