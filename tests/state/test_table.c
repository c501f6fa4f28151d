#include <stdio.h>

#include "unit.h"

/* Guards against the handle of a removed row that finds the row which reuses
   its index.  */
START_TEST (stale_handle_finds_nothing)
{
  struct rr_table *t = rr_table_new (sizeof (int));
  struct rr_handle a;
  struct rr_handle b;
  int *row = rr_table_insert (t, &a);
  *row = 5;
  ck_assert (rr_table_remove (t, a));
  ck_assert (!rr_table_remove (t, a));
  row = rr_table_insert (t, &b);
  ck_assert_int_eq (*row, 0);
  ck_assert_uint_eq (a.index, b.index);
  ck_assert_ptr_null (rr_table_get (t, a));
  ck_assert_ptr_eq (rr_table_get (t, b), row);
  struct rr_handle null = { 0 };
  struct rr_handle out_of_range = { .index = 100000, .generation = 1 };
  ck_assert_ptr_null (rr_table_get (t, null));
  ck_assert_ptr_null (rr_table_get (t, out_of_range));
  rr_table_free (t);
}
END_TEST

/* Guards against rows that move or are lost while the table grows, rows are
   removed and the table is iterated.  */
START_TEST (rows_do_not_move)
{
  struct rr_table *t = rr_table_new (sizeof (int));
  struct rr_handle h[500];
  int *rows[500];
  for (int i = 0; i < 500; i++)
    {
      rows[i] = rr_table_insert (t, &h[i]);
      *rows[i] = i;
    }
  for (int i = 0; i < 500; i += 2)
    ck_assert (rr_table_remove (t, h[i]));
  ck_assert_uint_eq (rr_table_count (t), 250);
  int sum = 0;
  int seen = 0;
  struct rr_handle cursor = { 0 };
  const int *row;
  while ((row = rr_table_next (t, &cursor)) != NULL)
    {
      ck_assert_ptr_eq (row, rows[*row]);
      ck_assert (rr_table_remove (t, cursor));
      sum += *row;
      seen++;
    }
  ck_assert_int_eq (seen, 250);
  /* The odd numbers below 500.  */
  ck_assert_int_eq (sum, 62500);
  rr_table_free (t);
}
END_TEST

/* Guards against keys that can no longer be found after others were removed
   from the same probe sequence.  */
START_TEST (index_keeps_keys_after_removals)
{
  struct rr_key_index *x = rr_key_index_new ();
  char key[16];
  for (uint32_t i = 0; i < 3000; i++)
    {
      snprintf (key, sizeof key, "key-%u", i);
      ck_assert (rr_key_index_put (
          x, key, (struct rr_handle){ .index = i, .generation = 1 }));
    }
  for (uint32_t i = 0; i < 3000; i += 3)
    {
      snprintf (key, sizeof key, "key-%u", i);
      ck_assert (rr_key_index_remove (x, key));
      ck_assert (!rr_key_index_remove (x, key));
    }
  for (uint32_t i = 0; i < 3000; i++)
    {
      snprintf (key, sizeof key, "key-%u", i);
      struct rr_handle h = rr_key_index_get (x, key);
      ck_assert_uint_eq (h.generation, i % 3 == 0 ? 0 : 1);
      ck_assert_uint_eq (h.index, i % 3 == 0 ? 0 : i);
    }
  rr_key_index_free (x);
}
END_TEST

int
main (void)
{
  const TTest *const tests[] = { stale_handle_finds_nothing, rows_do_not_move,
                                 index_keeps_keys_after_removals };
  return unit_run ("table", tests, sizeof tests / sizeof tests[0]);
}
