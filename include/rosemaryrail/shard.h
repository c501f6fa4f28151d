#ifndef ROSEMARYRAIL_SHARD_H
#define ROSEMARYRAIL_SHARD_H

enum
{
  RR_SHARD_COUNT = 16 /* fixed: stored keys depend on it */
};

#endif
