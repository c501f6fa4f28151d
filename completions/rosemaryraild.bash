# bash completion for rosemaryraild

_rosemaryraild() {
  local current previous
  current=${COMP_WORDS[COMP_CWORD]}
  previous=${COMP_WORDS[COMP_CWORD - 1]}
  COMPREPLY=()
  if [ "$previous" = --set ]; then
    compopt -o nospace
    mapfile -t COMPREPLY < <(compgen -S = -W "name region zone http_address
      http_port rpc_address rpc_port platform_address platform_port seed_peers
      chart_directory log_level drain_ms request_timeout_ms body_max_bytes
      request_retention_ms platform_timeout_ms platform_writes_per_s
      platform_reads_per_s append_interval_ms heartbeat_zone_ms
      heartbeat_remote_ms peer_timeout_zone_ms peer_timeout_remote_ms
      controller_lease_ms task_lease_ms worker_report_ms worker_timeout_ms
      vm_list_ms" -- "$current")
    return
  fi
  case $current in
    -*)
      mapfile -t COMPREPLY < <(compgen -W "--set --check --help" -- "$current")
      ;;
    *)
      mapfile -t COMPREPLY < <(compgen -f -- "$current")
      ;;
  esac
}

complete -o filenames -F _rosemaryraild rosemaryraild
