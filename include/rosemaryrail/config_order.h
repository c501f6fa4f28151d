#ifndef ROSEMARYRAIL_CONFIG_ORDER_H
#define ROSEMARYRAIL_CONFIG_ORDER_H

#include <stdbool.h>
#include <stdint.h>

#define RR_DIGEST_SIZE 72

/* Identifies a configuration; generation 0 means none.  */
struct rr_config_id
{
  uint64_t generation;
  char digest[RR_DIGEST_SIZE];
};

enum rr_config_source
{
  RR_CONFIG_FROM_STORE,
  RR_CONFIG_FROM_PEER
};

enum rr_config_verdict
{
  RR_CONFIG_CURRENT, /* the offered one is in force already */
  RR_CONFIG_ADOPT,   /* higher generation: fetch it and put it in force */
  RR_CONFIG_IGNORE,  /* lower generation, or none */
  RR_CONFIG_FORK     /* same generation, other digest: keep ours, alarm */
};

struct rr_config_decision
{
  enum rr_config_verdict verdict;
  /* The store is behind: write the accepted head back by compare-and-swap on
     the revision just read.  */
  bool write_back;
};

struct rr_config_decision
rr_config_evaluate_offer (const struct rr_config_id *accepted,
                          const struct rr_config_id *offered,
                          enum rr_config_source source);
const char *rr_config_verdict_name (enum rr_config_verdict verdict);

#endif
