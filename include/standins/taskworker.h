#ifndef STANDINS_TASKWORKER_H
#define STANDINS_TASKWORKER_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "common/json.h"

enum
{
  TASKWORKER_TEXT_MAX = 128
};

void taskruns_init (const char *worker_id, FILE *log);
void taskruns_log (const char *event, const char *task, int64_t run,
                   const char *how);
bool taskruns_fence (int64_t token);
int64_t taskrun_present (const char *task);
bool taskrun_is_sealed (const char *task, int64_t run);
void taskrun_start (const char *task, int64_t run, const char *spec,
                    int length);
void taskrun_stop (const char *task, int64_t run);
void taskrun_pace (const char *task, int64_t run, int64_t percent);
void taskruns_toggle_peak (void);
bool taskruns_advance (bool lapsed);
int64_t taskruns_last_end (void);
void taskruns_note_ends (int64_t observed, int64_t lapsed_us);
struct json_object *taskruns_running (void);
struct json_object *taskruns_finished (int64_t observed);

#endif
