#!/usr/bin/env bash
# Processor time and memory of real processes over several sizes, idle and under load.
# usage: capacity.sh [SECONDS]
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
bin=${TAMARACK_BIN:-$root/build}
seconds=${1:-6}
dir=$(mktemp -d)
trap '"$root/tools/fleet.sh" down --dir "$dir"; rm -rf "$dir"' EXIT

pids_of() { awk -v p="$1" 'index($1, p) == 1 { print $2 }' "$dir/pids"; }
ticks() { for pid in $(pids_of "$1"); do awk '{ print $14 + $15 }' "/proc/$pid/stat"; done | awk '{ s += $1 } END { print s + 0 }'; }
memory() { for pid in $(pids_of "$1"); do awk '/VmRSS/ { print $2 }' "/proc/$pid/status"; done | awk '{ s += $1; n++ } END { printf "%.1f", s / n / 1024 }'; }

printf '%7s %9s %6s | %12s %9s | %14s %11s\n' entries upstreams req/s "entry % core" "entry MB" "upstream % core" "upstream MB"
measure() { # entries upstreams rate
    rm -rf "$dir"
    mkdir -p "$dir"
    "$root/tools/fleet.sh" up --dir "$dir" --entries "$1" --upstreams "$2" --services 0 --instant
    sleep 1
    local entry upstream
    entry=$(ticks entry-)
    upstream=$(ticks up-)
    if [ "$3" = 0 ]; then
        sleep "$seconds"
    else
        "$bin/standin-load" --fleet="$dir/fleet.json" --rate="$3" --seconds="$seconds" \
            --service_share=0 --max_tokens=20 >/dev/null || true
    fi
    entry=$(($(ticks entry-) - entry))
    upstream=$(($(ticks up-) - upstream))
    awk -v e="$1" -v u="$2" -v r="$3" -v s="$seconds" -v ec="$entry" -v uc="$upstream" \
        -v em="$(memory entry-)" -v um="$(memory up-)" 'BEGIN {
            printf "%7d %9d %6d | %12.2f %9.1f | %14.2f %11.1f\n", e, u, r, ec / s / e, em, uc / s / u, um }'
    "$root/tools/fleet.sh" down --dir "$dir"
}

measure 2 4 0
measure 2 16 0
measure 2 48 0
measure 8 16 0
measure 16 16 0
[ -n "${IDLE_ONLY:-}" ] || measure 2 8 100
[ -n "${IDLE_ONLY:-}" ] || measure 2 8 200
[ -n "${IDLE_ONLY:-}" ] || measure 2 8 400
[ -n "${IDLE_ONLY:-}" ] || measure 2 8 800
