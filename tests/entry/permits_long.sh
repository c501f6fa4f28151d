#!/bin/bash
# Guards against an answer that is too long to be read and is asked for again
# and again: permits for a gang of six, with tokens of 16 KB each.
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/permits_lib.sh"
start_permits 50 0 3000 100 16000
deploy 2 6
submit 1 '{"count":6,"cpu":5000,"memMb":100,"estimateMs":200,"gang":true}'
wait_jobs 1 1 10
verify_permits
