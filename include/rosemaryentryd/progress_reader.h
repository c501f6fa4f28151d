#ifndef ROSEMARYENTRYD_PROGRESS_READER_H
#define ROSEMARYENTRYD_PROGRESS_READER_H

#include "rosemaryentryd/entry.h"

/* Reads the stored progress of a shard's jobs into the records, which a new
   owner does before it serves the shard.  */
struct progress_reader;

/* Called once, when the reader is no longer valid.  COMPLETE is false when the
   store did not answer.  */
typedef void progress_read_done_fn (void *data, bool complete);

struct progress_reader *progress_read (struct entry *e, const char *shard,
                                       progress_read_done_fn *done,
                                       void *data);

#endif
