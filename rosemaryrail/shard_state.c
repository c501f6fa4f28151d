#include "rosemaryrail/shard_state.h"

#include <stdlib.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "job_private.h"

enum
{
  SNAPSHOT_MAGIC = 0x52525331, /* "RRS1" */
  SNAPSHOT_FIXED = 256,        /* bytes besides jobs and requests, at most */
  CHECKSUM_SIZE = 8
};

/* Returns the shard that owns KEY, a team name or a request id.  */
uint32_t
rr_shard_for_key (const char *key)
{
  return (uint32_t)(XXH3_64bits (key, strlen (key)) % RR_SHARD_COUNT);
}

/* Returns the empty state of a shard, or null without memory.  */
struct rr_shard_state *
rr_shard_state_new (void)
{
  struct rr_shard_state *s = calloc (1, sizeof *s);
  if (s == NULL)
    return NULL;
  s->jobs = rr_job_store_new ();
  s->requests = rr_request_log_new ();
  if (s->jobs == NULL || s->requests == NULL)
    {
      rr_shard_state_free (s);
      return NULL;
    }
  return s;
}

/* Frees S; S may be null.  */
void
rr_shard_state_free (struct rr_shard_state *s)
{
  if (s == NULL)
    return;
  rr_job_store_free (s->jobs);
  rr_request_log_free (s->requests);
  free (s);
}

/* Folds R, a record of the entry with SEQUENCE, into S.  NOW is the owner's
   clock.  Returns false with the reason and changes nothing when R does not
   apply to the state it meets.  */
bool
rr_shard_state_apply (struct rr_shard_state *s, uint64_t sequence,
                      const struct rr_record *r, struct rr_time now,
                      struct rr_error *err)
{
  switch (r->kind)
    {
    case RR_RECORD_OWNERSHIP_TAKEN:
      s->epoch = sequence;
      memcpy (s->owner, r->u.ownership_taken.owner, sizeof s->owner);
      s->owner_incarnation = r->u.ownership_taken.incarnation;
      s->released = false;
      s->successor[0] = '\0';
      return true;
    case RR_RECORD_OWNERSHIP_RELEASED:
      s->released = true;
      memcpy (s->successor, r->u.ownership_released.successor,
              sizeof s->successor);
      return true;
    case RR_RECORD_REQUEST_GRANTED:
    case RR_RECORD_REQUEST_RESULT:
    case RR_RECORD_REQUESTS_EXPIRED:
      return rr_request_log_apply (s->requests, r, err);
    default:
      return rr_job_store_apply (s->jobs, r, now, err);
    }
}

/* Returns the bytes that a snapshot of S can take at most, including the
   growth of the jobs that were accepted.  */
size_t
rr_shard_state_size (const struct rr_shard_state *s)
{
  return SNAPSHOT_FIXED + rr_job_store_size (s->jobs)
         + rr_request_log_size (s->requests);
}

static bool
xdr_state (XDR *x, struct rr_shard_state *s)
{
  uint32_t magic = SNAPSHOT_MAGIC;
  return rr_xdr_u32 (x, &magic) && magic == SNAPSHOT_MAGIC
         && rr_xdr_u64 (x, &s->sequence) && rr_xdr_u64 (x, &s->epoch)
         && rr_xdr_text (x, s->owner, RR_NAME_MAX)
         && rr_xdr_u64 (x, &s->owner_incarnation)
         && rr_xdr_flag (x, &s->released)
         && rr_xdr_text (x, s->successor, RR_NAME_MAX)
         && rr_job_store_xdr (x, s->jobs)
         && rr_request_log_xdr (x, s->requests);
}

/* Encodes S as a snapshot, which the caller frees.  */
bool
rr_shard_state_encode (const struct rr_shard_state *s, uint8_t **data,
                       size_t *length, struct rr_error *err)
{
  size_t capacity = rr_shard_state_size (s) + CHECKSUM_SIZE;
  uint8_t *buffer = malloc (capacity);
  if (buffer == NULL)
    return rr_error_set (err, RR_ERROR_SYSTEM, "out of memory");
  XDR x;
  xdrmem_create (&x, (char *)buffer, (u_int)capacity, XDR_ENCODE);
  /* The encoding direction only reads.  */
  bool ok = xdr_state (&x, (struct rr_shard_state *)s);
  uint64_t sum = XXH3_64bits (buffer, xdr_getpos (&x));
  ok = ok && rr_xdr_u64 (&x, &sum);
  *length = xdr_getpos (&x);
  xdr_destroy (&x);
  if (!ok)
    {
      free (buffer);
      return rr_error_set (err, RR_ERROR_LIMIT,
                           "the state exceeds its reserved %zu bytes",
                           capacity);
    }
  *data = buffer;
  return true;
}

/* Decodes a snapshot; null with RR_ERROR_INVALID if it is malformed.  */
struct rr_shard_state *
rr_shard_state_decode (const uint8_t *data, size_t length,
                       struct rr_error *err)
{
  struct rr_shard_state *s = rr_shard_state_new ();
  if (s == NULL || length > INT32_MAX || length < CHECKSUM_SIZE)
    {
      rr_shard_state_free (s);
      rr_error_set (err, RR_ERROR_INVALID, "snapshot of %zu bytes", length);
      return NULL;
    }
  XDR x;
  xdrmem_create (&x, (char *)data, (u_int)length, XDR_DECODE);
  uint64_t sum = 0;
  bool ok = xdr_state (&x, s);
  size_t at = xdr_getpos (&x);
  ok = ok && rr_xdr_u64 (&x, &sum) && at + CHECKSUM_SIZE == length
       && sum == XXH3_64bits (data, at);
  xdr_destroy (&x);
  if (ok)
    return s;
  rr_shard_state_free (s);
  rr_error_set (err, RR_ERROR_INVALID, "malformed snapshot at byte %zu", at);
  return NULL;
}
