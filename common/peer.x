/* Calls between daemons.  Every call is idempotent or carries an attempt
   number.  Strings are UTF-8; times are milliseconds.  */

const PEER_NAME_MAX = 64;
const PEER_ID_MAX = 128;
const PEER_TEXT_MAX = 1024;
const PEER_BODY_MAX = 1000000;
const PEER_LIST_MAX = 4096;

enum peer_outcome
{
  PEER_ANSWERED = 0,
  PEER_NOT_RUN = 1,
  PEER_UNKNOWN = 2
};

/* A VM that one daemon knows to be leaving.  */
struct peer_leaving
{
  string vm<PEER_NAME_MAX>;
  unsigned hyper incarnation;
  unsigned int source;
  unsigned hyper generation;
};

/* Free capacity of the workers whose ledgers the sender owns, for one
   service.  */
struct peer_service
{
  string name<PEER_NAME_MAX>;
  unsigned int instances;
  unsigned int free_connections;
  unsigned int latency_us;
};

struct peer_shard
{
  unsigned int shard;
  unsigned hyper epoch;
};

struct peer_heartbeat
{
  string name<PEER_NAME_MAX>;
  unsigned hyper incarnation;
  string zone<PEER_NAME_MAX>;
  unsigned hyper generation;
  string digest<PEER_NAME_MAX>;
  bool stopping;
  bool platform_reachable;
  unsigned int workers;
  unsigned int free_slots;
  unsigned int free_cores_milli;
  unsigned hyper free_memory_mb;
  unsigned int free_accelerators;
  unsigned hyper total_cores_milli;
  unsigned hyper total_memory_mb;
  unsigned int total_accelerators;
  unsigned int total_slots;
  unsigned int largest_cores_milli;
  unsigned hyper largest_memory_mb;
  unsigned int largest_accelerators;
  peer_leaving leaving<PEER_LIST_MAX>;
  peer_service services<PEER_LIST_MAX>;
  peer_shard shards<64>;
};

struct peer_text
{
  opaque text<PEER_BODY_MAX>;
};

/* The head of the configuration that FROM has in force; empty: none.  */
struct peer_config_head
{
  string from<PEER_NAME_MAX>;
  opaque text<PEER_BODY_MAX>;
};

struct peer_forward_args
{
  string id<PEER_ID_MAX>;
  string service<PEER_NAME_MAX>;
  string team<PEER_NAME_MAX>;
  unsigned int timeout_ms;
  unsigned int attempt;
  bool repeatable;
  opaque body<PEER_BODY_MAX>;
};

struct peer_forward_result
{
  peer_outcome outcome;
  int status;
  string reason<PEER_TEXT_MAX>;
  string content_type<PEER_NAME_MAX>;
  opaque body<PEER_BODY_MAX>;
};

/* Asks the owner of a request's shard for the permission to send it.  */
struct peer_grant_args
{
  string id<PEER_ID_MAX>;
  string service<PEER_NAME_MAX>;
  string holder<PEER_NAME_MAX>;
  unsigned hyper holder_incarnation;
  unsigned hyper ask;
  unsigned int timeout_ms;
};

enum peer_grant_verdict
{
  PEER_GRANT_GO = 0,
  PEER_GRANT_RECORDED = 1,
  PEER_GRANT_PENDING = 2,
  PEER_GRANT_REFUSED = 3,
  PEER_GRANT_UNKNOWN = 4,
  PEER_GRANT_NOT_OWNER = 5
};

struct peer_grant_result
{
  peer_grant_verdict verdict;
  peer_outcome outcome;
  int status;
  string reason<PEER_TEXT_MAX>;
  string content_type<PEER_NAME_MAX>;
  opaque body<PEER_BODY_MAX>;
};

/* Reports what became of a granted request.  */
struct peer_result_args
{
  string id<PEER_ID_MAX>;
  unsigned hyper holder_incarnation;
  unsigned hyper ask;
  peer_outcome outcome;
  int status;
  string content_type<PEER_NAME_MAX>;
  bool body_kept;
  opaque body<PEER_BODY_MAX>;
};

struct peer_status
{
  int code;
  string message<PEER_TEXT_MAX>;
};

struct peer_task
{
  string task<PEER_ID_MAX>;
  unsigned int attempt;
  unsigned int shard;
  unsigned hyper shard_epoch;
  string kind<PEER_NAME_MAX>;
  string service<PEER_NAME_MAX>;
  string task_class<PEER_NAME_MAX>;
  string team<PEER_NAME_MAX>;
  unsigned int cores_milli;
  unsigned int memory_mb;
  unsigned int accelerators;
  unsigned hyper work_ms;
  string checkpoint<PEER_TEXT_MAX>;
  bool urgent;
  unsigned int evictions;
  unsigned hyper waited_ms; /* since the task could first be placed */
};

struct peer_reserve_result
{
  int code;
  string message<PEER_TEXT_MAX>;
  string worker<PEER_NAME_MAX>;
  unsigned hyper incarnation;
  unsigned hyper controller_epoch;
  hyper worker_now_ms;
  opaque filters<PEER_BODY_MAX>;
};

struct peer_start_args
{
  peer_task task;
  string worker<PEER_NAME_MAX>;
  unsigned hyper incarnation;
  hyper void_after_ms;
  hyper granted_until_ms;
};

struct peer_start_result
{
  peer_outcome outcome;
  string reason<PEER_TEXT_MAX>;
};

/* Names one attempt on one incarnation of a worker; used by seal, stop and
   checkpoint.  */
struct peer_attempt_args
{
  string task<PEER_ID_MAX>;
  unsigned int attempt;
  unsigned int shard;
  unsigned hyper shard_epoch;
  string worker<PEER_NAME_MAX>;
  unsigned hyper incarnation;
  bool checkpoint; /* stop: write a checkpoint first */
  bool promise;    /* lease proof: promise never to claim the worker again */
};

enum peer_attempt_state
{
  PEER_ATTEMPT_RUNNING = 0,
  PEER_ATTEMPT_ENDED = 1,
  PEER_ATTEMPT_NEVER = 2,
  PEER_ATTEMPT_UNREACHABLE = 3,
  PEER_ATTEMPT_NOT_OWNER = 4,
  PEER_ATTEMPT_LEASE_EXPIRED = 5
};

struct peer_attempt_result
{
  peer_attempt_state state;
  hyper worker_now_ms; /* 0: not known */
  string result<PEER_TEXT_MAX>;
  string checkpoint<PEER_TEXT_MAX>;
};

/* One ended attempt, told to the owner of the task's shard.  */
struct peer_ended_args
{
  string task<PEER_ID_MAX>;
  string team<PEER_NAME_MAX>;
  unsigned int attempt;
  unsigned int shard;
  string result<PEER_TEXT_MAX>;
  string checkpoint<PEER_TEXT_MAX>;
};

struct peer_grant_extend_args
{
  string task<PEER_ID_MAX>;
  unsigned int attempt;
  unsigned int shard;
  unsigned hyper shard_epoch;
  string worker<PEER_NAME_MAX>;
  hyper granted_until_ms;
};

struct peer_job_args
{
  string team<PEER_NAME_MAX>;
  string id<PEER_ID_MAX>;
  string detail<PEER_NAME_MAX>;
  opaque text<PEER_BODY_MAX>;
};

struct peer_job_result
{
  int http_status;
  opaque text<PEER_BODY_MAX>;
};

program ROSEMARYRAIL_PEER
{
  version ROSEMARYRAIL_PEER_V1
  {
    peer_heartbeat HEARTBEAT (peer_heartbeat) = 1;
    peer_config_head CONFIG_HEAD (peer_config_head) = 2;
    peer_text CONFIG_PART (peer_text) = 3;
    peer_text VM_LIST (void) = 4;
    peer_forward_result REQUEST_FORWARD (peer_forward_args) = 5;
    peer_grant_result REQUEST_GRANT (peer_grant_args) = 6;
    peer_status REQUEST_RESULT (peer_result_args) = 7;
    peer_job_result JOB_SUBMIT (peer_job_args) = 8;
    peer_job_result JOB_QUERY (peer_job_args) = 9;
    peer_job_result JOB_CANCEL (peer_job_args) = 10;
    peer_reserve_result TASK_RESERVE (peer_task) = 11;
    peer_start_result TASK_START (peer_start_args) = 12;
    peer_attempt_result TASK_SEAL (peer_attempt_args) = 13;
    peer_attempt_result TASK_STOP (peer_attempt_args) = 14;
    peer_status TASK_ENDED (peer_ended_args) = 15;
    peer_status GRANT_EXTEND (peer_grant_extend_args) = 16;
    peer_attempt_result LEASE_ABANDON (peer_attempt_args) = 17;
  } = 1;
} = 0x20a1f00d;
