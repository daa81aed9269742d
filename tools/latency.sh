#!/usr/bin/env bash
# Added latency of the path and requests a second an entry core, beside a one-hop relay, in one
# run with engines that answer at once. usage: latency.sh [SECONDS]
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
bin=${TAMARACK_BIN:-$root/build}
seconds=${1:-5}
dir=$(mktemp -d)
relay=""
trap '[ -z "$relay" ] || kill "$relay"; "$root/tools/fleet.sh" down --dir "$dir"; rm -rf "$dir"' EXIT

"$root/tools/fleet.sh" up --dir "$dir" --entries 1 --upstreams 4 --services 0 --instant
field() {
    tr '\n' ' ' <"$dir/fleet.json" | sed 's/{"name"/\n{"name"/g' |
        sed -n "s/.*\"role\":\"$1\".*\"$2\":\"\([0-9.:]*\)\".*/\1/p"
}
engine=$(field engine control | head -1)
"$bin/standin-relay" --listen=127.0.0.1:18999 --target="$engine" &
relay=$!
sleep 0.3
cpu() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }
measure() { # name pid load-flags...
    local name=$1 pid=$2 before after sent
    shift 2
    before=$(cpu "$pid")
    "$bin/standin-load" --seconds="$seconds" --service_share=0 --tiers=live --max_tokens=8 "$@" >"$dir/load.txt"
    after=$(cpu "$pid")
    sent=$(awk '$1 == "live" { print $3 }' "$dir/load.txt")
    awk -v n="$name" -v s="$seconds" -v c=$((after - before)) -v w="$sent" '$1 == "live" {
        printf "%-34s %8.0f/s  first token p50 %6.2f ms  p99 %6.2f ms  cpu %5.2f s  %6.0f requests a cpu second\n",
            n, w / s, $8, $9, c / 100, (c > 0 ? w * 100 / c : 0) }' "$dir/load.txt"
}
entry_pid=$(awk '$1 == "entry-1" { print $2 }' "$dir/pids")
measure "engine alone, 200/s" "$relay" --target="$engine" --rate=200
measure "relay, 200/s" "$relay" --target=127.0.0.1:18999 --rate=200
measure "tamarackseam, 200/s" "$entry_pid" --fleet="$dir/fleet.json" --rate=200
measure "relay, 64 at a time" "$relay" --target=127.0.0.1:18999 --rate=0 --concurrency=64
measure "tamarackseam, 64 at a time" "$entry_pid" --fleet="$dir/fleet.json" --rate=0 --concurrency=64
