#ifndef COMMON_RPC_RECORD_H
#define COMMON_RPC_RECORD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  RPC_RECORD_MAX_BYTES = 1200000 /* holds a 1 MB value and its envelope */
};

/* Reassembles records from a byte stream that uses the record marking of
   RFC 5531, section 11.  A zeroed struct is an empty reader.  */
struct rpc_record_reader
{
  char *bytes;
  size_t length;
  size_t capacity;
};

bool rpc_record_feed (struct rpc_record_reader *r, const char *bytes,
                      size_t length);
bool rpc_record_next (struct rpc_record_reader *r, const char **record,
                      size_t *length, bool *malformed);
void rpc_record_consume (struct rpc_record_reader *r);
void rpc_record_reader_free (struct rpc_record_reader *r);
void rpc_record_write_mark (char *mark, size_t length);

#endif
