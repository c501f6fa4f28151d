# Guards against options and fields that are missing from the manual pages or
# completions.
# The environment gives ROSEMARYCTL and ROOT, the top of the source tree.
set -eu
missing=0
require() { # file, word
  grep -q -e "$2" "$1" || { echo "$1 does not mention $2"; missing=1; }
}
commands=$("$ROSEMARYCTL" --help | sed -n 's/^  \([a-z]*\) .*/\1/p')
[ -n "$commands" ]
for command in $commands; do
  require "$ROOT/rosemaryctl/rosemaryctl.1.scd" "^\*$command\*"
  require "$ROOT/completions/rosemaryctl.bash" "\b$command\b"
  for option in $("$ROSEMARYCTL" "$command" --help \
    | sed -n 's/^  \(--[a-z-]*\).*/\1/p'); do
    require "$ROOT/rosemaryctl/rosemaryctl.1.scd" "\*$option\*"
    require "$ROOT/completions/rosemaryctl.bash" "[ \"]$option\b"
  done
done
# The error for an unknown field lists all known fields of the object.
fields=$(printf '%s' '{"limits":{"?":0},"teams":[{"?":0}],
  "services":[{"?":0}],"jobs":[{"?":0}],"?":0}' \
  | "$ROSEMARYCTL" check - 2>&1 | sed -n 's/.*expected one of: //p' \
  | tr -d , || true)
[ -n "$fields" ]
for field in $fields; do
  require "$ROOT/rosemaryraild/rosemaryrail-config.5.scd" "\*$field\*"
done
settings=$(sed -n \
  's/^  \(NAME\|TEXT\|INT\)_FIELD (\([a-z_]*\).*/\2/p; s/^  { .name = "\(.*\)",/\1/p' \
  "$ROOT/common/settings.c")
[ -n "$settings" ]
for setting in $settings seed_peers; do
  require "$ROOT/rosemaryraild/rosemaryraild.8.scd" "\*$setting\*"
  require "$ROOT/completions/rosemaryraild.bash" "\b$setting\b"
done
exit $missing
