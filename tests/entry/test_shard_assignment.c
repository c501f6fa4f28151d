#include "../check_suite.h"

#include "rosemaryentryd/shard_assignment.h"

/* The number of shards and their owners at the sizes of the deployments.  */

enum
{
  SHARDS_MAX = 64,
  DAEMONS_MAX = 256
};

static int64_t capacities[DAEMONS_MAX];

static void
add (size_t first, size_t count, int64_t cpu_milli, int64_t link_kbit)
{
  for (size_t i = first; i < first + count; i++)
    capacities[i] = shard_assignment_capacity (cpu_milli, link_kbit);
}

/* Guards against one owner for 120 workers on a link of 2 Mbit/s, which polls
   alone fill.  */
START_TEST (slow_links_get_more_shards)
{
  add (0, 18, 69, 2000);
  ck_assert_uint_eq (shard_assignment_count (capacities, 18, 120, SHARDS_MAX),
                     5);
  add (0, 18, 69, 1000000);
  ck_assert_uint_eq (shard_assignment_count (capacities, 18, 120, SHARDS_MAX),
                     4);
}
END_TEST

/* Guards against a site that is divided although one owner can carry it: its
   long-running tasks would find less room.  */
START_TEST (small_sites_have_one_shard)
{
  add (0, 7, 100, 1000000);
  ck_assert_uint_eq (shard_assignment_count (capacities, 7, 48, SHARDS_MAX),
                     1);
  add (0, 8, 250, 1000000);
  ck_assert_uint_eq (shard_assignment_count (capacities, 8, 66, SHARDS_MAX),
                     1);
}
END_TEST

START_TEST (large_sites_use_their_large_vms)
{
  add (0, 15, 500, 200000);
  add (15, 132, 69, 20000);
  ck_assert_uint_eq (
      shard_assignment_count (capacities, 147, 1100, SHARDS_MAX), 14);
  struct shard_candidate large
      = { .name = "a", .cpu_milli = 500, .link_kbit = 200000, .shards = 5 };
  struct shard_candidate small
      = { .name = "b", .cpu_milli = 69, .link_kbit = 20000, .shards = 0 };
  ck_assert_uint_lt (shard_assignment_cost ("s0", &large),
                     shard_assignment_cost ("s0", &small));
  large.shards = 7;
  ck_assert_uint_gt (shard_assignment_cost ("s0", &large),
                     shard_assignment_cost ("s0", &small));
}
END_TEST

/* Guards against owners on the fastest processors behind the slowest links. */
START_TEST (the_link_counts)
{
  struct shard_candidate cpu
      = { .name = "a", .cpu_milli = 500, .link_kbit = 2000 };
  struct shard_candidate link
      = { .name = "b", .cpu_milli = 120, .link_kbit = 10000 };
  ck_assert_uint_gt (shard_assignment_cost ("s0", &cpu),
                     shard_assignment_cost ("s0", &link));
}
END_TEST

/* More workers than all daemons can carry: one shard a daemon, up to the
   maximum; and no daemons or workers at all.  */
START_TEST (limits)
{
  add (0, 3, 1, 1);
  ck_assert_uint_eq (shard_assignment_count (capacities, 3, 500, SHARDS_MAX),
                     3);
  ck_assert_uint_eq (shard_assignment_count (capacities, 3, 500, 2), 2);
  ck_assert_uint_eq (shard_assignment_count (capacities, 0, 500, SHARDS_MAX),
                     1);
  ck_assert_uint_eq (shard_assignment_count (capacities, 3, 0, SHARDS_MAX), 1);
  ck_assert_int_eq (shard_assignment_capacity (0, 0), 1);
}
END_TEST

SUITE ("shard assignment", slow_links_get_more_shards,
       small_sites_have_one_shard, large_sites_use_their_large_vms,
       the_link_counts, limits)
