#ifndef ROSEMARYENTRYD_PEERS_XDR_H
#define ROSEMARYENTRYD_PEERS_XDR_H

#include "common/rpc.h"
#include "rosemaryentryd/peers.h"

/* The arguments of a query for the phase of a job.  */
struct peer_job
{
  char id[RR_JOB_NAME_SIZE];
};

/* Each function encodes or decodes, depending on the mode of X.  */
bool_t xdr_peer_job (XDR *x, struct peer_job *j);
bool_t xdr_peer_phase (XDR *x, struct peer_phase *p);
bool_t xdr_peer_config (XDR *x, struct peer_config *c);
bool_t xdr_statistics_list (XDR *x, struct statistics_list *l);

#endif
