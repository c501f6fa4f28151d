#ifndef ROSEMARYENTRYD_TRANSFER_OUTCOME_H
#define ROSEMARYENTRYD_TRANSFER_OUTCOME_H

#include "platform/store.h"

bool transfer_took_effect (const struct store_result *conflict,
                           const char *job_key, const char *source);

#endif
