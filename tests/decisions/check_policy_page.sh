#!/bin/sh
# Guards against an operators' page that differs from the parameters in force:
# every row that "rr-bench parameters" prints must be in the page.
missing=$("$1" parameters | while IFS= read -r row; do
  grep -qxF "$row" "$2" || printf '%s\n' "$row"
done)
[ -z "$missing" ] && exit 0
echo "missing in $2:"
echo "$missing"
exit 1
