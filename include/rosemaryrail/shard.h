#ifndef ROSEMARYRAIL_SHARD_H
#define ROSEMARYRAIL_SHARD_H

enum
{
  RR_SHARD_COUNT = 16 /* fixed: keys in the platform depend on it */
};

#endif
