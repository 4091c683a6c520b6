#!/bin/sh
# A server writes bytes without end into the body of a stream. TROUBLE=0 leaves that out.
cd "$(dirname "$0")/../.." || exit 2
program=target/review/release/review-standin
for file in "$program" target/release/buckthornsill-entry target/release/buckthornsill-control; do
    [ -x "$file" ] || { echo "$file is missing: build first" >&2; exit 2; }
done
"$program" endless review/1 &
main=$!
# Ended by a signal, the script ends what it started.
trap 'kill -STOP $main; kill -KILL $(ps -o pid= --ppid $main) $main; exit 2' HUP INT TERM
wait $main
