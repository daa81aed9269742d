#!/usr/bin/env bash
# Installs, builds and shows the whole system on loopback. Exits non-zero if a promise broke.
set -euo pipefail
cd "$(dirname "$0")/.."

tools/install.sh
cmake -S . -B build -G Ninja >/dev/null
ninja -C build >/dev/null
bin=$PWD/build
dir=$(mktemp -d)
trap 'tools/fleet.sh down --dir "$dir"; rm -rf "$dir"' EXIT

field() { # role kind
    tr '\n' ' ' <"$dir/fleet.json" | sed 's/{"name"/\n{"name"/g' |
        sed -n "s/.*\"role\":\"$1\".*\"$2\":\"\([0-9.:]*\)\".*/\1/p"
}
metric() { # name: sum over all processes
    for address in $(field entry caller) $(field upstream admin); do
        curl -s "http://$address/metrics" | grep "^$1" || true
    done | awk '{ sum += $NF } END { print sum + 0 }'
}

echo "== two entries, four upstreams of two speeds, two services"
tools/fleet.sh up --dir "$dir" --entries 2 --upstreams 4 --services 2 --generations 2
export TAMARACK_TOKEN
TAMARACK_TOKEN=$(sed -n 's/.*"operator":"\([^"]*\)".*/\1/p' "$dir/fleet.json")
ctl() { "$bin/tamarackseamctl" --admin="$(field entry admin | head -1)" "$@"; }
ctl status

echo "== mixed load of four tiers; after 3 s the preset changes, after 6 s an upstream stops"
"$bin/standin-load" --fleet="$dir/fleet.json" --rate=45 --seconds=12 --service_share=0.15 \
    --not_run_log="$dir/not-run.log" >"$dir/load.txt" &
load=$!
sleep 3
ctl --wait preset use peak
sleep 3
ctl --wait mark up-engine-3 stop
broken=0
wait "$load" || broken=1
cat "$dir/load.txt"

echo "== what the processes counted"
for tier in live interactive standard batch; do
    echo "goodput $tier: $(metric "tamarack_goodput_total{tier=\"$tier\"}")"
done
echo "prefill tokens: $(metric tamarack_prefill_tokens_total), wasted: $(metric tamarack_wasted_prefill_tokens_total)"
echo "refusals: $(metric tamarack_refusals_total), retries: $(metric tamarack_retries_total)"

twice=$(for engine in $(field engine control); do
    curl -s "http://$engine/log" | grep -o '[0-9a-f]\{16\}-[0-9a-f]\{16\}'
done | sort | uniq -d | wc -l)
echo "requests that an engine saw twice: $twice"
[ "$twice" = 0 ] || broken=1
if [ "$broken" != 0 ]; then
    echo "a promise broke" >&2
    exit 1
fi
echo "every answer was whole and its caller's own"
