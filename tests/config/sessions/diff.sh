# Guards against differences that are missed or reported where there are none.
run diff --old old.jsonc new.jsonc
run diff --old new.jsonc old.jsonc
run diff --old old.jsonc old.jsonc
run diff --format json --old old.jsonc --old trailing.jsonc new.jsonc
run diff --format json --old old.jsonc new.jsonc
run diff --old old.jsonc comma.jsonc
run diff --old old.jsonc no-drains.jsonc
