#include "rosemaryentryd/front_private.h"

#include <stdio.h>
#include <string.h>

#include "common/log.h"
#include "platform/documents.h"
#include "rosemaryentryd/owners.h"
#include "rosemaryentryd/peers.h"

/* Answers callers' queries for the phase of a job.  */

/* Responds with the phase of Q's job as far as it is known.  */
void
request_finish_phase (struct request *q)
{
  const struct job_record *j = records_job (q->front->entry->records, q->id);
  request_finish (q, 200,
                  platform_state_response (j == NULL ? RR_PHASE_QUEUED
                                                     : records_job_phase (j)));
}

/* The phase of the record that was read is known as well as it can be.  A
   divided job that looks queued is active if one of its parts is.  */
static void
request_phase_read (struct request *q)
{
  struct records *records = q->front->entry->records;
  const struct job_record *j = records_job (records, q->id);
  size_t shards = records_shard_count (records);
  while (j != NULL && records_job_phase (j) == RR_PHASE_QUEUED
         && q->next_part < shards)
    {
      char id[RR_JOB_NAME_SIZE];
      records_part_id (q->id, records_shard_at (records, q->next_part++)->name,
                       id);
      const struct job_record *part = records_job (records, id);
      if (part == NULL || !part->accepted)
        continue;
      request_read_phase (q, part);
      return;
    }
  request_finish_phase (q);
}

static void
on_stored_phase (void *data, const struct store_result *r)
{
  struct request *q = data;
  for (size_t i = 0; r->state == STORE_OK && i < r->item_count; i++)
    records_progress_item (q->front->entry->records, &r->items[i]);
  if (r->state != STORE_OK && r->state != STORE_MISSING)
    log_event (LOG_LEVEL_WARN, "phase_not_read", "job=%s record=%s state=%s",
               q->id, q->record, store_state_name (r->state));
  request_phase_read (q);
}

/* Reads the phase from the store, while no owner answers.  */
static void
request_read_stored_phase (struct request *q, const struct job_record *j)
{
  char key[KEY_SIZE];
  records_progress_key (j->shard, j->id, key);
  store_get (q->front->entry->store, key, request_store_timeout_ms (q),
             on_stored_phase, q);
}

static void
on_owner_phase (void *data, const struct peer_phase *p)
{
  struct request *q = data;
  struct records *records = q->front->entry->records;
  const struct job_record *j = records_job (records, q->record);
  if (p != NULL && p->known)
    records_set_owner_phase (records, q->record, p->phase, p->revision);
  else if (j != NULL)
    {
      request_read_stored_phase (q, j);
      return;
    }
  request_phase_read (q);
}

/* Reads the phase of the record J, a job or a part of one.  The owner of its
   shard is the first to know it, and the only one that follows it.  */
void
request_read_phase (struct request *q, const struct job_record *j)
{
  struct entry *e = q->front->entry;
  const struct shard_record *s = records_shard (e->records, j->shard);
  snprintf (q->record, sizeof q->record, "%s", j->id);
  if (s == NULL || owners_serves (e->owners, s)
      || rr_job_phase_final (records_job_phase (j)))
    request_phase_read (q);
  else if (s->owner[0] == '\0' || strcmp (s->owner, e->settings.name) == 0)
    request_read_stored_phase (q, j);
  else
    peers_query_phase (e->peers, s->owner, q->record, on_owner_phase, q);
}
