#!/bin/sh
# A client states a prompt larger than any server. TROUBLE=0 leaves that out.
cd "$(dirname "$0")/../.." || exit 2
program=target/review/release/review-standin
for file in "$program" target/release/buckthornsill-entry target/release/buckthornsill-control; do
    [ -x "$file" ] || { echo "$file is missing: build first" >&2; exit 2; }
done
exec "$program" large review/5
