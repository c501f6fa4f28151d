#include "rosemaryrail/request_log.h"

#include <stdlib.h>
#include <string.h>

#include "job_private.h"

/* Returns an empty log, or null if memory is exhausted.  */
struct rr_request_log *
rr_request_log_new (void)
{
  struct rr_request_log *l = calloc (1, sizeof *l);
  if (l == NULL)
    return NULL;
  l->rows = rr_table_new (sizeof (struct rr_request_row));
  l->by_id = rr_key_index_new ();
  if (l->rows == NULL || l->by_id == NULL)
    {
      rr_request_log_free (l);
      return NULL;
    }
  return l;
}

static void
row_free (struct rr_request_row *row)
{
  free (row->id);
  free ((void *)row->entry.body);
}

/* Frees L and its requests; L may be null.  */
void
rr_request_log_free (struct rr_request_log *l)
{
  if (l == NULL)
    return;
  struct rr_handle h = { 0 };
  struct rr_request_row *row;
  while (l->rows != NULL && (row = rr_table_next (l->rows, &h)) != NULL)
    row_free (row);
  rr_table_free (l->rows);
  rr_key_index_free (l->by_id);
  free (l);
}

/* Returns the number of recorded requests.  */
size_t
rr_request_log_count (const struct rr_request_log *l)
{
  return l->recorded;
}

/* Returns the size of the recorded requests in a snapshot in bytes.  */
size_t
rr_request_log_size (const struct rr_request_log *l)
{
  return l->size;
}

static struct rr_request_row *
find_row (const struct rr_request_log *l, const char *request)
{
  return rr_table_get (l->rows, rr_key_index_get (l->by_id, request));
}

/* Adds an unrecorded row for REQUEST; returns null if memory is exhausted.  */
struct rr_request_row *
rr_request_log_add (struct rr_request_log *l, const char *request)
{
  struct rr_handle h = { 0 };
  char *id = strdup (request);
  struct rr_request_row *row
      = id == NULL ? NULL : rr_table_insert (l->rows, &h);
  if (row == NULL || !rr_key_index_put (l->by_id, request, h))
    {
      if (row != NULL)
        rr_table_remove (l->rows, h);
      free (id);
      return NULL;
    }
  row->id = id;
  return row;
}

/* Clears the recorded state of ROW, and removes ROW unless a grant of the
   request is queued.  */
static void
row_drop (struct rr_request_log *l, struct rr_request_row *row)
{
  if (row->recorded)
    {
      l->recorded--;
      l->size -= row->size;
      row->recorded = false;
      row->size = 0;
      free ((void *)row->entry.body);
      memset (&row->entry, 0, sizeof row->entry);
    }
  if (row->pending > 0)
    return;
  struct rr_handle h = rr_key_index_get (l->by_id, row->id);
  rr_key_index_remove (l->by_id, row->id);
  row_free (row);
  rr_table_remove (l->rows, h);
}

/* Returns the state of REQUEST.  The owner may queue a grant only in state
   RR_REQUEST_NEW.  In the states RR_REQUEST_PENDING and RR_REQUEST_GRANTED a
   duplicate of the request waits up to its deadline and is then answered
   "unknown".  */
struct rr_request_entry
rr_request_log_find (const struct rr_request_log *l, const char *request)
{
  const struct rr_request_row *row = find_row (l, request);
  struct rr_request_entry e = { .state = RR_REQUEST_NEW };
  if (row == NULL)
    return e;
  if (!row->recorded)
    {
      e.state = RR_REQUEST_PENDING;
      return e;
    }
  return row->entry;
}

static bool
apply_granted (struct rr_request_log *l, const struct rr_record *r,
               struct rr_error *err)
{
  const struct rr_record_request_granted *p = &r->u.request_granted;
  struct rr_request_row *row = find_row (l, p->request);
  if (row != NULL && row->recorded)
    return rr_error_set (err, RR_ERROR_CONFLICT,
                         "request \"%s\" is granted to %s already", p->request,
                         row->entry.holder);
  if (row == NULL)
    row = rr_request_log_add (l, p->request);
  if (row == NULL)
    return rr_error_set (err, RR_ERROR_SYSTEM, "out of memory");
  row->recorded = true;
  l->recorded++;
  struct rr_request_entry *e = &row->entry;
  e->state = RR_REQUEST_GRANTED;
  memcpy (e->holder, p->holder, sizeof e->holder);
  e->holder_incarnation = p->holder_incarnation;
  e->ask = p->ask;
  e->granted_ms = r->at_ms;
  e->deadline_ms = p->deadline_ms;
  row->size = rr_request_row_size (row);
  l->size += row->size;
  return true;
}

static bool
apply_result (struct rr_request_log *l, const struct rr_record *r,
              struct rr_error *err)
{
  const struct rr_record_request_result *p = &r->u.request_result;
  struct rr_request_row *row = find_row (l, p->request);
  if (row == NULL || !row->recorded)
    return rr_error_set (err, RR_ERROR_NOT_FOUND,
                         "request \"%s\" is not granted", p->request);
  struct rr_request_entry *e = &row->entry;
  if (e->holder_incarnation != p->holder_incarnation || e->ask != p->ask)
    return rr_error_set (err, RR_ERROR_CONFLICT,
                         "request \"%s\" is granted to another holder",
                         p->request);
  bool unknown
      = e->state == RR_REQUEST_DONE && e->outcome == RR_REQUEST_UNKNOWN;
  if (e->state != RR_REQUEST_GRANTED
      && !(unknown && p->outcome == RR_REQUEST_ANSWERED))
    return rr_error_set (err, RR_ERROR_CONFLICT,
                         "request \"%s\" has a result already", p->request);
  if (p->outcome == RR_REQUEST_NOT_RUN)
    {
      row_drop (l, row);
      return true;
    }
  uint8_t *body = NULL;
  if (p->body.length > 0)
    {
      body = malloc (p->body.length);
      if (body == NULL)
        return rr_error_set (err, RR_ERROR_SYSTEM, "out of memory");
      memcpy (body, p->body.data, p->body.length);
    }
  e->state = RR_REQUEST_DONE;
  e->outcome = p->outcome;
  e->status = p->status;
  memcpy (e->content_type, p->content_type, sizeof e->content_type);
  e->body_kept = p->body_kept;
  free ((void *)e->body);
  e->body = body;
  e->body_length = p->body.length;
  l->size -= row->size;
  row->size = rr_request_row_size (row);
  l->size += row->size;
  return true;
}

/* Removes the requests whose grant and deadline are both at or before
   UNTIL_MS.  */
static void
apply_expired (struct rr_request_log *l, int64_t until_ms)
{
  struct rr_handle h = { 0 };
  struct rr_request_row *row;
  while ((row = rr_table_next (l->rows, &h)) != NULL)
    if (row->recorded && row->entry.granted_ms <= until_ms
        && row->entry.deadline_ms <= until_ms)
      row_drop (l, row);
}

/* Applies R to L.  When R does not apply, returns false with the reason and
   leaves L unchanged.  A grant applies only to an id without a recorded grant,
   so that an id has at most one valid grant.  */
bool
rr_request_log_apply (struct rr_request_log *l, const struct rr_record *r,
                      struct rr_error *err)
{
  switch (r->kind)
    {
    case RR_RECORD_REQUEST_GRANTED:
      return apply_granted (l, r, err);
    case RR_RECORD_REQUEST_RESULT:
      return apply_result (l, r, err);
    case RR_RECORD_REQUESTS_EXPIRED:
      apply_expired (l, r->u.requests_expired.until_ms);
      return true;
    default:
      return rr_error_set (err, RR_ERROR_INVALID, "not a request record");
    }
}

/* Marks the grant R as queued (PENDING) or as settled.  */
void
rr_request_log_mark_pending (struct rr_request_log *l,
                             const struct rr_record *r, bool pending)
{
  if (r->kind != RR_RECORD_REQUEST_GRANTED)
    return;
  struct rr_request_row *row = find_row (l, r->u.request_granted.request);
  if (pending)
    {
      if (row == NULL)
        row = rr_request_log_add (l, r->u.request_granted.request);
      if (row != NULL)
        row->pending++;
      return;
    }
  if (row == NULL || row->pending == 0)
    return;
  row->pending--;
  if (row->pending == 0 && !row->recorded)
    row_drop (l, row);
}

/* Fills RECORD with a record that removes the requests whose grant and
   deadline are at least RETENTION_MS old, and returns true if there are any.
   WALL_MS is the wall clock.  */
bool
rr_request_log_expired (const struct rr_request_log *l, int64_t retention_ms,
                        int64_t wall_ms, struct rr_record *record)
{
  int64_t until = wall_ms - retention_ms;
  struct rr_handle h = { 0 };
  const struct rr_request_row *row;
  while ((row = rr_table_next (l->rows, &h)) != NULL)
    if (row->recorded && row->entry.granted_ms <= until
        && row->entry.deadline_ms <= until)
      {
        memset (record, 0, sizeof *record);
        record->kind = RR_RECORD_REQUESTS_EXPIRED;
        record->at_ms = wall_ms;
        record->u.requests_expired.until_ms = until;
        return true;
      }
  return false;
}

static bool
xdr_row (XDR *x, void *value)
{
  struct rr_request_row *row = value;
  struct rr_request_entry *e = &row->entry;
  if (!RR_XDR_ENUM (x, e->state, RR_REQUEST_DONE)
      || e->state < RR_REQUEST_GRANTED
      || !rr_xdr_text (x, e->holder, RR_NAME_MAX)
      || !rr_xdr_u64 (x, &e->holder_incarnation) || !rr_xdr_u64 (x, &e->ask)
      || !rr_xdr_i64 (x, &e->granted_ms) || !rr_xdr_i64 (x, &e->deadline_ms))
    return false;
  if (e->state == RR_REQUEST_GRANTED)
    return true;
  struct rr_bytes body
      = { .data = (uint8_t *)e->body, .length = e->body_length };
  bool ok = RR_XDR_ENUM (x, e->outcome, RR_REQUEST_UNKNOWN)
            && rr_xdr_u32 (x, &e->status)
            && rr_xdr_text (x, e->content_type, RR_NAME_MAX)
            && rr_xdr_flag (x, &e->body_kept)
            && rr_xdr_bytes (x, &body, RR_BODY_MAX);
  e->body = body.data;
  e->body_length = body.length;
  return ok;
}

/* Returns the size of ROW in a snapshot in bytes, including the space reserved
   for a result that is not recorded yet.  */
size_t
rr_request_row_size (const struct rr_request_row *row)
{
  struct rr_request_row copy = *row;
  size_t id = 4 + (strlen (row->id) + 3) / 4 * 4;
  if (row->entry.state == RR_REQUEST_GRANTED)
    id += RR_RESULT_RESERVE;
  return id + rr_xdr_measure (xdr_row, &copy, 1024 + RR_BODY_MAX);
}

/* Encodes or decodes all recorded requests.  L must be empty for decoding;
   after an error its content is incomplete and the caller must free it.  */
bool
rr_request_log_xdr (XDR *x, struct rr_request_log *l)
{
  uint32_t n = (uint32_t)l->recorded;
  if (!rr_xdr_u32 (x, &n))
    return false;
  char id[RR_REQUEST_ID_MAX + 1];
  struct rr_request_row *row;
  if (x->x_op == XDR_DECODE)
    {
      while (n-- > 0)
        {
          if (!rr_xdr_text (x, id, RR_REQUEST_ID_MAX)
              || find_row (l, id) != NULL
              || (row = rr_request_log_add (l, id)) == NULL
              || !xdr_row (x, row))
            return false;
          row->recorded = true;
          l->recorded++;
          row->size = rr_request_row_size (row);
          l->size += row->size;
        }
      return true;
    }
  struct rr_handle h = { 0 };
  while ((row = rr_table_next (l->rows, &h)) != NULL)
    if (row->recorded
        && !(rr_xdr_text (x, row->id, RR_REQUEST_ID_MAX) && xdr_row (x, row)))
      return false;
  return true;
}
