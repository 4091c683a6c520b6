#!/usr/bin/env bash
# Measures what an idle system of real processes costs: processor time, memory and bytes received of
# each entry instance, against the number of entry instances. Needs a release build.
#
# Usage: bench/idle.sh [ENTRIES…]
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${BIN:-target/release}
seconds=${SECONDS_EACH:-20}
domains=4

measure() {
    local entries=$1 endpoints=$((3 * $1 / 2)) dir port=${PORT:-15000} pids=() entry_pids=()
    dir=$(mktemp -d)
    for key in cluster-key join-token root-token; do echo "bench-$key" >"$dir/$key"; done
    stop() { for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done; wait 2>/dev/null || true; rm -rf "$dir"; }
    trap stop EXIT
    "$bin/sill-control" --name c1 --domain d0 --listen "127.0.0.1:$port" --listen-peer "127.0.0.1:$((port + 1))" \
        --voter "c1@d0@127.0.0.1:$((port + 1))" --data "$dir/control" --cluster-key-file "$dir/cluster-key" \
        --root-token-file "$dir/root-token" --log-level error 2>/dev/null &
    pids+=($!)
    local seeds=()
    for i in $(seq 0 $((entries < 4 ? entries - 1 : 3))); do seeds+=(--peer "127.0.0.1:$((port + 11 + 2 * i))"); done
    for i in $(seq 0 $((entries - 1))); do
        "$bin/sill-entry" --name "e$i" --domain "d$((i % domains))" --listen "127.0.0.1:$((port + 10 + 2 * i))" \
            --listen-peer "127.0.0.1:$((port + 11 + 2 * i))" --control "127.0.0.1:$((port + 1))" "${seeds[@]}" \
            --cluster-key-file "$dir/cluster-key" --join-token-file "$dir/join-token" --log-level error 2>/dev/null &
        pids+=($!)
        entry_pids+=($!)
    done
    for i in $(seq 0 $((endpoints - 1))); do
        "$bin/sill-standin" endpoint --name "m$i" --domain "d$((i % domains))" \
            --entry "127.0.0.1:$((port + 10 + 2 * (i % entries)))" --join-token-file "$dir/join-token" 2>/dev/null &
        pids+=($!)
    done
    sleep 3
    local document='{"services":{"desk-7b":{"kind":"model"}},"accounts":{}}'
    echo "$document" >"$dir/ga.json"
    "$bin/sill" apply --control "127.0.0.1:$port" --token-file "$dir/root-token" ga "$dir/ga.json" >/dev/null
    sleep 5
    ticks() { local sum=0 t; for pid in "${entry_pids[@]}"; do t=$(awk '{print $14 + $15}' "/proc/$pid/stat"); sum=$((sum + t)); done; echo "$sum"; }
    local before after rss
    before=$(ticks)
    sleep "$seconds"
    after=$(ticks)
    rss=$(for pid in "${entry_pids[@]}"; do awk '/VmRSS/ {print $2}' "/proc/$pid/status"; done | sort -n | tail -1)
    awk -v n="$entries" -v m="$endpoints" -v t="$((after - before))" -v s="$seconds" -v r="$rss" \
        'BEGIN { printf "%7d  %9d  %24.2f %%  %22.1f MB\n", n, m, t / s / n, r / 1024 }'
    stop
    trap - EXIT
}

echo "entries  endpoints  mean of an entry, of a core  largest resident memory"
for entries in "${@:-8}"; do measure "$entries"; done
