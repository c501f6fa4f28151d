#ifndef ROSEMARYRAIL_XDR_FIELDS_H
#define ROSEMARYRAIL_XDR_FIELDS_H

#include <rpc/types.h>

#include <rpc/xdr.h>

#include "rosemaryrail/record.h"

/* Each function encodes or decodes one field, depending on the direction of X.
   It returns false when the memory stream ends or the value is out of
   range.  */
bool rr_xdr_u32 (XDR *x, uint32_t *v);
bool rr_xdr_i32 (XDR *x, int32_t *v);
bool rr_xdr_u64 (XDR *x, uint64_t *v);
bool rr_xdr_i64 (XDR *x, int64_t *v);
bool rr_xdr_flag (XDR *x, bool *v);
bool rr_xdr_enum (XDR *x, uint32_t *v, uint32_t last);
bool rr_xdr_text (XDR *x, char *text, uint32_t max);
bool rr_xdr_bytes (XDR *x, struct rr_bytes *b, uint32_t max);
bool rr_xdr_record (XDR *x, struct rr_record *r);
size_t rr_xdr_measure (bool (*code) (XDR *x, void *value), void *value,
                       size_t max);

/* Encodes or decodes an enum with values from 0 to LAST.  */
#define RR_XDR_ENUM(x, lvalue, last)                                          \
  ({                                                                          \
    uint32_t enum_value_ = (uint32_t)(lvalue);                                \
    bool enum_ok_ = rr_xdr_enum ((x), &enum_value_, (uint32_t)(last));        \
    (lvalue) = enum_value_;                                                   \
    enum_ok_;                                                                 \
  })

#endif
