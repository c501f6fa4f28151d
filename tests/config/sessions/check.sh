# Guards against errors that are missed, reported at a wrong location or
# reported one at a time.
for file in unclosed comma trailing comment slash root second quotes \
  quotes-value quote \
  open-string policy fields \
  types duplicates contradictions; do
  run check $file.jsonc
done
printf '{\n  "drains": ["\377"]\n}\n' >"$work/utf8"
printf '{\n  "drains": [\000]\n}\n' >"$work/zero"
: >"$work/empty"
(cd "$work" && run check utf8 && run check zero && run check empty)
run check duplicates.jsonc duplicates-2.jsonc
# An error in one file does not hide those in others.
run check comma.jsonc types.jsonc
run check --format json trailing.jsonc
run check --format json old.jsonc
run check old.jsonc
run check no-such-file.jsonc
run check .
run check
run check --format xml old.jsonc
run check --daemon localhost:1 old.jsonc
run check --timeout-ms 0 old.jsonc
run no-such-command
# The shipped examples.
run check ../../../examples/heshima.jsonc
run check ../../../examples/kamnik.jsonc
