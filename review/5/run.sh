#!/bin/sh
# SIGTERM while streams that end with their connections are under way. TROUBLE=0 leaves the signals out.
cd "$(dirname "$0")/../.." || exit 2
program=target/review/release/review-standin
for file in "$program" target/release/buckthornsill-entry target/release/buckthornsill-control; do
    [ -x "$file" ] || { echo "$file is missing: build first" >&2; exit 2; }
done
exec "$program" stop review/5
