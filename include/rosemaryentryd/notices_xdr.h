#ifndef ROSEMARYENTRYD_NOTICES_XDR_H
#define ROSEMARYENTRYD_NOTICES_XDR_H

#include "common/rpc.h"
#include "rosemaryentryd/notices.h"

/* The argument of NOTICE_JOBS_ENDED.  */
struct notice_list
{
  struct notice entries[NOTICES_MAX];
  unsigned int count;
};

bool_t xdr_notice_list (XDR *x, struct notice_list *l);
bool_t xdr_lesson_list (XDR *x, struct lesson_list *l);

#endif
