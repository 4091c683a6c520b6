#!/usr/bin/env bash
# Measures one entry instance with real processes: latency added over calling the stand-in directly
# in the same run, processor time, and memory by open streams. Needs a release build.
#
# Usage: bench/entry.sh OUT_DIR [RATE…]
set -euo pipefail
cd "$(dirname "$0")/.."
out=$1
shift
rates=("${@:-20}")
bin=${BIN:-target/release}
seconds=${SECONDS_EACH:-10}
mkdir -p "$out"
dir=$(mktemp -d)
pids=()
stop() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$dir"
}
trap stop EXIT

port=${PORT:-14100}
entry=127.0.0.1:$port
control=127.0.0.1:$((port + 1))
control_peer=127.0.0.1:$((port + 2))
endpoints=()
direct_to=()
for key in cluster-key join-token root-token caller-key; do echo "bench-$key" >"$dir/$key"; done

"$bin/sill-control" --name c1 --domain a --listen "$control" --listen-peer "$control_peer" \
    --voter "c1@a@$control_peer" --data "$dir/control" --cluster-key-file "$dir/cluster-key" \
    --root-token-file "$dir/root-token" 2>"$out/control.log" &
pids+=($!)
"$bin/sill-entry" --name e1 --domain a --listen "$entry" --listen-peer "127.0.0.1:$((port + 3))" \
    --control "$control_peer" --cluster-key-file "$dir/cluster-key" \
    --join-token-file "$dir/join-token" --log-level warn 2>"$out/entry.log" &
entry_pid=$!
pids+=("$entry_pid")
# Several, so that the entry is the first to reach its limit.
for i in $(seq "${ENDPOINTS:-3}"); do
    endpoint=127.0.0.1:$((port + 3 + i))
    "$bin/sill-standin" endpoint --name "m$i" --domain a --listen "$endpoint" --entry "$entry" \
        --join-token-file "$dir/join-token" --slots 20000 --prefill-us-per-token 0 \
        --decode-ms "${DECODE_MS:-10}" 2>"$out/endpoint-$i.log" &
    pids+=($!)
    endpoints+=("$endpoint")
    direct_to+=(--entry "$endpoint")
done
echo "entry: process $entry_pid, endpoints: ${endpoints[*]}" >&2

hash=$("$bin/sill" hash <"$dir/caller-key")
echo "{\"services\":{\"desk-7b\":{\"kind\":\"model\"}},\"accounts\":{\"a\":{\"keys\":[\"$hash\"]}}}" >"$dir/ga.json"
"$bin/sill" apply --control "$control" --token-file "$dir/root-token" --wait ga "$dir/ga.json"
# Announcements take a while to count; the first requests would be refused.
until "$bin/sill-load" --key-file "$dir/caller-key" --entry "$entry" --concurrency 1 --seconds 0.2 |
    grep -q 'sent \([0-9]*\): whole \1,'; do sleep 0.2; done
sleep 3

# Processor ticks of a process.
ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
resident() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }
load() {
    local name=$1
    shift
    "$bin/sill-load" --key-file "$dir/caller-key" --json "$out/$name.json" "$@" \
        >"$out/$name.txt" || cat "$out/$name.txt"
}

echo '{"kinds":[{"ask":{"of":"chat","max_tokens":30}}]}' >"$dir/streams.json"
echo "{\"kinds\":[{\"ask\":{\"of\":\"chat\",\"max_tokens\":${TOKENS:-32}}}]}" >"$dir/load.json"
tick=$(getconf CLK_TCK)
for rate in "${rates[@]}"; do
    before=$(ticks "$entry_pid")
    # Both at once, so that a busy machine is the same for both.
    load "direct-$rate" "${direct_to[@]}" --rate "$rate" --seconds "$seconds" --threads 2 \
        --mix "$dir/load.json" &
    direct=$!
    load "entry-$rate" --entry "$entry" --rate "$rate" --seconds "$seconds" --threads 2 \
        --mix "$dir/load.json"
    wait "$direct"
    used=$(($(ticks "$entry_pid") - before))
    echo "== rate $rate/s: entry used $used ticks of 1/$tick s in $seconds s"
    echo "direct:" && cat "$out/direct-$rate.txt"
    echo "by the entry:" && cat "$out/entry-$rate.txt"
done

for streams in ${STREAMS:-}; do
    base=$(resident "$entry_pid")
    before=$(ticks "$entry_pid")
    # With DECODE_MS=500 the 30 tokens keep every stream open while the memory is read.
    load "streams-$streams" --entry "$entry" --concurrency "$streams" --seconds 1 --threads 3 \
        --mix "$dir/streams.json" &
    streaming=$!
    sleep 5
    echo "== $streams streams open: resident $(resident "$entry_pid") kB, before $base kB"
    wait "$streaming"
    used=$(($(ticks "$entry_pid") - before))
    echo "entry used $used ticks of 1/$tick s" && cat "$out/streams-$streams.txt"
done
