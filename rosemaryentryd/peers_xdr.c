#include "rosemaryentryd/peers_xdr.h"

enum
{
  CONFIG_TEXT_MAX = 1100000 /* a value of the store, and some more */
};

/* Encodes or decodes the id of a job.  */
bool_t
xdr_peer_job (XDR *x, struct peer_job *j)
{
  char *id = j->id;
  return xdr_string (x, &id, sizeof j->id - 1);
}

/* Encodes or decodes the phase of a job.  */
bool_t
xdr_peer_phase (XDR *x, struct peer_phase *p)
{
  bool_t known = p->known;
  int phase = (int)p->phase;
  if (!xdr_bool (x, &known) || !xdr_int (x, &phase)
      || !xdr_int64_t (x, &p->revision) || phase < RR_PHASE_QUEUED
      || phase > RR_PHASE_CANCELLED)
    return FALSE;
  p->known = known;
  p->phase = (enum rr_job_phase)phase;
  return TRUE;
}

/* Encodes or decodes the configuration of a daemon, without its name.  */
bool_t
xdr_peer_config (XDR *x, struct peer_config *c)
{
  bool_t known = c->known;
  if (!xdr_bool (x, &known) || !xdr_int64_t (x, &c->version)
      || !xdr_int64_t (x, &c->age_ms)
      || !xdr_string (x, &c->text, CONFIG_TEXT_MAX))
    return FALSE;
  c->known = known;
  return TRUE;
}

/* Returns the number of moments for CLASSES classes: the upper triangle of a
   symmetric matrix of CLASSES + 3 rows.  */
static size_t
moment_count (int classes)
{
  return (size_t)((classes + 3) * (classes + 4) / 2);
}

static bool_t
xdr_statistics (XDR *x, struct rr_dispatch_statistics *l)
{
  struct rr_interference_export *s = &l->moments;
  if (!xdr_uint64_t (x, &s->origin) || !xdr_uint64_t (x, &s->service)
      || !xdr_int64_t (x, &s->at.ms) || !xdr_double (x, &l->base_ms)
      || !xdr_int (x, &s->classes) || s->classes < 0
      || s->classes > RR_CLASSES_MAX)
    return FALSE;
  for (int i = 0; i < s->classes; i++)
    if (!xdr_uint64_t (x, &s->batch[i]) || !xdr_float (x, &s->reports[i]))
      return FALSE;
  for (size_t i = 0; i < moment_count (s->classes); i++)
    if (!xdr_float (x, &s->moments[i]))
      return FALSE;
  return TRUE;
}

/* Encodes or decodes the estimates of a shard's owner.  */
bool_t
xdr_statistics_list (XDR *x, struct statistics_list *l)
{
  char *shard = l->shard;
  unsigned int count = (unsigned int)l->count;
  if (!xdr_string (x, &shard, sizeof l->shard - 1) || !xdr_u_int (x, &count)
      || count > STATISTICS_MAX)
    return FALSE;
  l->count = count;
  for (unsigned int i = 0; i < count; i++)
    if (!xdr_statistics (x, &l->entries[i]))
      return FALSE;
  return TRUE;
}
