# bash completion for rosemaryctl

_rosemaryctl() {
  local current previous command options
  current=${COMP_WORDS[COMP_CWORD]}
  previous=${COMP_WORDS[COMP_CWORD - 1]}
  COMPREPLY=()
  if [ "$COMP_CWORD" -eq 1 ]; then
    mapfile -t COMPREPLY < <(compgen -W "check diff apply get status jobs job
      explain cancel submit drain undrain histograms --help" -- "$current")
    return
  fi
  case $previous in
    --format)
      mapfile -t COMPREPLY < <(compgen -W "text json" -- "$current")
      return
      ;;
    --old)
      mapfile -t COMPREPLY < <(compgen -f -- "$current")
      return
      ;;
    --daemon | --timeout-ms | --generation | --class | --team)
      return
      ;;
  esac
  command=${COMP_WORDS[1]}
  options="--daemon --format --timeout-ms --help"
  case $command in
    apply) options="$options --wait --dry-run --generation" ;;
    diff) options="$options --old" ;;
    histograms) options="$options --class --team" ;;
  esac
  case $current in
    -*)
      mapfile -t COMPREPLY < <(compgen -W "$options" -- "$current")
      ;;
    *)
      case $command in
        check | diff | apply | submit)
          mapfile -t COMPREPLY < <(compgen -f -- "$current")
          ;;
      esac
      ;;
  esac
}

complete -o filenames -F _rosemaryctl rosemaryctl
