#ifndef ROSEMARYRAILD_FRONT_INTERNAL_H
#define ROSEMARYRAILD_FRONT_INTERNAL_H

#include <uv.h>

#include "common/http_server.h"
#include "common/json.h"
#include "rosemaryrail/table.h"
#include "rosemaryraild/daemon.h"
#include "rosemaryraild/front.h"

enum
{
  TEAM_BUCKETS_MAX = 512
};

/* Token bucket for the requests of one team.  */
struct rate_bucket
{
  char team[NAME_SIZE];
  double tokens;
  struct rr_time updated;
};

struct front
{
  struct daemon *d;
  struct http_server *server;
  struct rr_table *exchanges; /* of struct http_exchange * */
  struct rate_bucket all;
  struct rate_bucket buckets[TEAM_BUCKETS_MAX];
  size_t bucket_count;
};

uint64_t front_add_exchange (struct front *f, struct http_exchange *x);
struct http_exchange *front_take_exchange (struct front *f, uint64_t token);
void front_respond_error (struct http_exchange *x, int status,
                          enum rr_error_code code, const char *message);

/* front_limits.c */
const char *front_rate_exceeded (struct front *f, const char *team,
                                 size_t daemons);

/* front_requests.c */
void front_service_request (struct front *f, struct http_exchange *x,
                            const char *service);
void front_grant_verdict (struct front *f, struct request *r,
                          enum peer_grant_verdict verdict);
void front_request_done (struct front *f, struct request *r);

/* front_config.c */
void front_get_config (struct front *f, struct http_exchange *x);
void front_put_config (struct front *f, struct http_exchange *x);
void front_drain (struct front *f, struct http_exchange *x, const char *vm,
                  bool drained);
void front_config_applied (struct front *f, struct apply *a);

/* front_jobs.c */
void front_submit_job (struct front *f, struct http_exchange *x);
void front_list_jobs (struct front *f, struct http_exchange *x);
void front_get_job (struct front *f, struct http_exchange *x, const char *id,
                    const char *detail);
void front_cancel_job (struct front *f, struct http_exchange *x,
                       const char *id);

/* front_get_status.c */
void front_get_status (struct front *f, struct http_exchange *x);
void front_get_metrics (struct front *f, struct http_exchange *x);
void front_get_histograms (struct front *f, struct http_exchange *x);

#endif
