#!/bin/sh
# The operator sends invalid configurations. TROUBLE=0 sends valid ones instead.
cd "$(dirname "$0")/../.." || exit 2
program=target/review/release/review-standin
for file in "$program" target/release/buckthornsill-entry target/release/buckthornsill-control; do
    [ -x "$file" ] || { echo "$file is missing: build first" >&2; exit 2; }
done
exec "$program" badconfig review/5
