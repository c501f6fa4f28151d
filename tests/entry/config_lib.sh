# Functions for the sessions on the configuration in force.

# put_config VERSION QUEUE...: the operator writes a configuration with these
# queues.
put_config() {
  local version=$1 routes
  shift
  routes=$(printf '%s\n' "$@" | jq -R '{name: ., host: "desk.example",
    prefix: ("/" + . + "/"), service: "desk", priority: 0, maxAttempts: 4,
    slackFactor: 2, targetRuntimeMs: 500, timeoutMs: 3000}' | jq -cs .)
  store_put op/config \
    "{\"version\":$version,\"routes\":$routes,\"services\":[{\"name\":\"desk\"}],\"limits\":{}}"
}

# queue_status DAEMON QUEUE: the status of a query for the queue's pending jobs.
queue_status() {
  curl -s -m 2 -o /dev/null -w '%{http_code}' -H 'Host: desk.example' \
    "http://$address:$((25500 + $1))/$2/"
}

# print_queue DAEMON QUEUE WHAT: prints whether the daemon serves the queue.
print_queue() {
  case $(queue_status "$1" "$2") in
  200) echo "$3: served" ;;
  404) echo "$3: no such queue" ;;
  503) echo "$3: unavailable" ;;
  *) echo "$3: no answer" ;;
  esac
}

# in_force_after DAEMON VERSION MS: prints whether the daemon applied the
# version within MS of the last put_config.
changed_at=0
put_config_now() {
  put_config "$@"
  changed_at=$(date +%s%3N)
}
applied() { grep -q "event=config_applied version=$2 " "$work/d$1.log"; }
print_in_force() {
  local until=$((changed_at + $3))
  while [ "$(date +%s%3N)" -lt $until ]; do
    if applied "$1" "$2"; then
      echo "version $2 in force in time"
      return
    fi
    sleep 0.05
  done
  echo "version $2 not in force in time"
}
