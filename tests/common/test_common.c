#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "common/base64.h"
#include "common/json.h"
#include "common/peer.h"
#include "common/rpc.h"
#include "common/rpc_record.h"

/* Guards against corruption of shard entries, which are stored as base64:
   every byte value, including NUL, and lengths with and without padding.  */
START_TEST (base64_keeps_all_bytes)
{
  char bytes[256];
  for (int i = 0; i < 256; i++)
    bytes[i] = (char)i;
  for (size_t n = 0; n <= sizeof bytes; n++)
    {
      char *text = base64_encode (bytes, n);
      char *back = NULL;
      size_t length = 9999;
      ck_assert (base64_decode (text, &back, &length));
      ck_assert_uint_eq (length, n);
      ck_assert_mem_eq (back, bytes, n);
      free (text);
      free (back);
    }
}
END_TEST

/* Guards against a corrupt stored value that is decoded to other bytes instead
   of being rejected.  */
START_TEST (base64_refuses_damage)
{
  static const char *const texts[] = { "QUJ",   "QUJD*UJD",     "QQ==QUJD",
                                       "Q===",  "====",         "QU=D",
                                       "\nQUJ", "QQ==\n\n\n\n", "    QUJD",
                                       "QUJDQ" };
  for (size_t i = 0; i < sizeof texts / sizeof texts[0]; i++)
    {
      char *back = NULL;
      size_t length;
      bool ok = base64_decode (texts[i], &back, &length);
      ck_assert_msg (!ok, "accepted \"%s\"", texts[i]);
      ck_assert_ptr_null (back);
    }
}
END_TEST

static bool
feed_text (struct rpc_record_reader *r, const char *text)
{
  char mark[4];
  rpc_record_write_mark (mark, strlen (text));
  return rpc_record_feed (r, mark, sizeof mark)
         && rpc_record_feed (r, text, strlen (text));
}

/* Guards against records that are lost or merged when TCP splits the stream at
   any byte or delivers several records at once.  */
START_TEST (records_survive_any_split)
{
  struct rpc_record_reader r = { 0 };
  ck_assert (feed_text (&r, "first") && feed_text (&r, "")
             && feed_text (&r, "third"));
  char stream[64];
  size_t total = r.length;
  memcpy (stream, r.bytes, total);
  rpc_record_reader_free (&r);
  for (size_t step = 1; step <= total; step++)
    {
      static const char *const expected[] = { "first", "", "third" };
      size_t found = 0;
      for (size_t at = 0; at < total; at += step)
        {
          size_t n = total - at < step ? total - at : step;
          ck_assert (rpc_record_feed (&r, stream + at, n));
          const char *record;
          size_t length;
          bool malformed;
          while (rpc_record_next (&r, &record, &length, &malformed))
            {
              ck_assert_uint_lt (found, 3);
              ck_assert_uint_eq (length, strlen (expected[found]));
              ck_assert_mem_eq (record, expected[found], length);
              found++;
              rpc_record_consume (&r);
            }
          ck_assert (!malformed);
        }
      ck_assert_uint_eq (found, 3);
      ck_assert_uint_eq (r.length, 0);
      rpc_record_reader_free (&r);
    }
}
END_TEST

static bool
is_malformed (const char *bytes, size_t n)
{
  struct rpc_record_reader r = { 0 };
  const char *record;
  size_t length;
  bool malformed;
  ck_assert (rpc_record_feed (&r, bytes, n));
  ck_assert (!rpc_record_next (&r, &record, &length, &malformed));
  rpc_record_reader_free (&r);
  return malformed;
}

/* Guards against allocating memory for an announced length over the limit, and
   against a connection that waits forever for the rest of invalid input.  */
START_TEST (bad_marks_are_malformed)
{
  char mark[4];
  rpc_record_write_mark (mark, RPC_RECORD_MAX_BYTES + 1);
  ck_assert (is_malformed (mark, sizeof mark));
  rpc_record_write_mark (mark, RPC_RECORD_MAX_BYTES);
  ck_assert (!is_malformed (mark, sizeof mark));
  ck_assert (is_malformed ("\xff\xff\xff\xff", 4));
  /* A mark without the last-fragment bit.  */
  ck_assert (is_malformed ("\x00\x00\x00\x05hello", 9));
  ck_assert (is_malformed ("GET / HTTP/1.1\r\n\r\n", 18));
}
END_TEST

/* Guards against unbounded memory use when a peer never stops sending.  */
START_TEST (buffer_is_bounded)
{
  struct rpc_record_reader r = { 0 };
  static char block[100000];
  size_t taken = 0;
  while (taken < 10 * (size_t)RPC_RECORD_MAX_BYTES
         && rpc_record_feed (&r, block, sizeof block))
    taken += sizeof block;
  ck_assert_uint_le (taken, 2 * (size_t)RPC_RECORD_MAX_BYTES);
  rpc_record_reader_free (&r);
}
END_TEST

/* Guards against reads past the end of truncated arguments, and against
   embedded lengths that exceed the data.  */
START_TEST (xdr_refuses_truncated_and_oversized)
{
  char team[] = "team";
  char id[] = "job-1";
  char body[] = "{}";
  peer_job_args in = { .team = team,
                       .id = id,
                       .detail = body,
                       .text = { .text_len = 2, .text_val = body } };
  char bytes[256];
  XDR x;
  xdrmem_create (&x, bytes, sizeof bytes, XDR_ENCODE);
  ck_assert (xdr_peer_job_args (&x, &in));
  size_t total = xdr_getpos (&x);
  for (size_t n = 0; n < total; n++)
    {
      /* A copy of exactly N bytes lets ASan detect a read past the end.  */
      char *cut = malloc (n == 0 ? 1 : n);
      memcpy (cut, bytes, n);
      peer_job_args out = { 0 };
      ck_assert_msg (!xdr_decode ((xdrproc_t)xdr_peer_job_args, &out, cut, n),
                     "accepted %zu of %zu bytes", n, total);
      free (cut);
    }
  peer_job_args out = { 0 };
  ck_assert (xdr_decode ((xdrproc_t)xdr_peer_job_args, &out, bytes, total));
  ck_assert_str_eq (out.id, id);
  xdr_free ((xdrproc_t)xdr_peer_job_args, &out);
  /* Overwrites the length of the first string.  */
  static const char huge[] = { 0x7f, -1, -1, -1 };
  memcpy (bytes, huge, sizeof huge);
  memset (&out, 0, sizeof out);
  ck_assert (!xdr_decode ((xdrproc_t)xdr_peer_job_args, &out, bytes, total));
}
END_TEST

/* Guards against parse errors without a position, and against silently ignored
   text after the value.  */
START_TEST (json_errors_name_the_position)
{
  static const struct
  {
    const char *text;
    const char *position;
  } cases[] = {
    { "{\"a\": 1,, \"b\": 2}", "at byte 8" },
    { "{} x", "at byte 3" },
    { "[1, 2", "at byte 5" },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct rr_error err = { 0 };
      struct json_object *o
          = json_parse (cases[i].text, strlen (cases[i].text), &err);
      ck_assert_ptr_null (o);
      ck_assert_int_eq (err.code, RR_ERROR_INVALID);
      ck_assert_msg (strstr (err.message, cases[i].position) != NULL, "%s: %s",
                     cases[i].text, err.message);
    }
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("common");
  TCase *t = tcase_create ("core");
  tcase_add_test (t, base64_keeps_all_bytes);
  tcase_add_test (t, base64_refuses_damage);
  tcase_add_test (t, records_survive_any_split);
  tcase_add_test (t, bad_marks_are_malformed);
  tcase_add_test (t, buffer_is_bounded);
  tcase_add_test (t, xdr_refuses_truncated_and_oversized);
  tcase_add_test (t, json_errors_name_the_position);
  suite_add_tcase (s, t);
  SRunner *r = srunner_create (s);
  srunner_run_all (r, CK_NORMAL);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
