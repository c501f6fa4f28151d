#include "rosemaryrail/config_order.h"

#include <string.h>

/* Compares OFFERED, read from SOURCE, with the configuration in force, where
   generation 0 means none.  Only the store can be behind: a peer that is
   behind learns our generation from our heartbeat.  A fork is never written
   back, since that would overwrite a configuration some operator was told is
   accepted.  */
struct rr_config_decision
rr_config_evaluate_offer (const struct rr_config_id *accepted,
                          const struct rr_config_id *offered,
                          enum rr_config_source source)
{
  struct rr_config_decision d = { RR_CONFIG_IGNORE, false };
  if (offered->generation > accepted->generation)
    d.verdict = RR_CONFIG_ADOPT;
  else if (offered->generation < accepted->generation)
    d.write_back = source == RR_CONFIG_FROM_STORE;
  else if (accepted->generation > 0)
    d.verdict
        = strncmp (offered->digest, accepted->digest, RR_DIGEST_SIZE) == 0
              ? RR_CONFIG_CURRENT
              : RR_CONFIG_FORK;
  return d;
}

/* Returns the lower-case name of VERDICT.  */
const char *
rr_config_verdict_name (enum rr_config_verdict verdict)
{
  switch (verdict)
    {
    case RR_CONFIG_CURRENT:
      return "current";
    case RR_CONFIG_ADOPT:
      return "adopt";
    case RR_CONFIG_IGNORE:
      return "ignore";
    case RR_CONFIG_FORK:
      return "fork";
    }
  return "unknown";
}
