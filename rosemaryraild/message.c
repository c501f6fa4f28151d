#include "rosemaryraild/message.h"

#include <stdio.h>
#include <stdlib.h>

/* Frees A, which may be null.  */
void
apply_free (struct apply *a)
{
  if (a == NULL)
    return;
  rr_config_free (a->config);
  free (a->diff);
  free (a);
}

/* Frees what M still owns after its receiver has returned.  */
void
message_free (struct message *m)
{
  switch (m->type)
    {
    case MESSAGE_RPC_CALL:
      free (m->u.rpc_call.args);
      break;
    case MESSAGE_RPC_DONE:
      free (m->u.rpc_done.result);
      break;
    case MESSAGE_RPC_REQUEST:
      free (m->u.rpc_request.args);
      break;
    case MESSAGE_REQUEST_RUN:
    case MESSAGE_REQUEST_DONE:
    case MESSAGE_GRANT_REQUEST:
    case MESSAGE_GRANT_RESULT:
      request_free (m->u.request);
      break;
    case MESSAGE_GRANT_VERDICT:
      request_free (m->u.verdict.request);
      break;
    case MESSAGE_CONFIG_APPLY:
    case MESSAGE_CONFIG_APPLIED:
      apply_free (m->u.apply);
      break;
    case MESSAGE_MEMBERSHIP_CHANGED:
    case MESSAGE_CONFIG_CHANGED:
    case MESSAGE_CONFIG_HINT:
    case MESSAGE_PAUSED:
    case MESSAGE_STOP:
      break;
    }
}

/* Removes the request from M and returns it; the caller owns it.  */
struct request *
request_take (struct message *m)
{
  struct request **slot = m->type == MESSAGE_GRANT_VERDICT
                              ? &m->u.verdict.request
                              : &m->u.request;
  struct request *r = *slot;
  *slot = NULL;
  return r;
}

/* Frees R, which may be null.  */
void
request_free (struct request *r)
{
  if (r == NULL)
    return;
  free (r->body);
  free (r->answer);
  free (r);
}

/* Sets the outcome of R and the reason shown to the caller, and discards any
   partial response.  */
void
request_set_outcome (struct request *r, enum rr_outcome outcome, int status,
                     const char *reason)
{
  r->outcome = outcome;
  r->status = status;
  if (reason != r->reason)
    snprintf (r->reason, sizeof r->reason, "%s", reason);
  free (r->answer);
  r->answer = NULL;
  r->answer_length = 0;
}
