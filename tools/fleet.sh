#!/usr/bin/env bash
# Starts or ends a local fleet of stand-ins, upstream processes and entries on loopback.
# usage: fleet.sh up --dir DIR [--entries N] [--upstreams N] [--services N] [--seed S]
#                    [--generations G] [--instant] [--links]
#        fleet.sh down --dir DIR
set -euo pipefail

root=$(cd "$(dirname "$0")/.." && pwd)
bin=${TAMARACK_BIN:-$root/build}
action=${1:-}
shift || true
dir=""
plan_flags=()
while [ $# -gt 0 ]; do
    case $1 in
    --dir) dir=$2; shift 2 ;;
    --entries | --upstreams | --services | --seed | --generations)
        plan_flags+=("--${1#--}=$2"); shift 2 ;;
    --instant | --links) plan_flags+=("$1"); shift ;;
    *) echo "fleet.sh: unknown option $1" >&2; exit 2 ;;
    esac
done
if [ -z "$dir" ]; then
    echo "fleet.sh: --dir is required" >&2
    exit 2
fi

address_of() { # name kind
    sed -n "s/.*\"name\":\"$1\",\"role\":\"[^\"]*\",\"pid\":[^,]*,\"addresses\":{[^}]*\"$2\":\"\([^\"]*\)\".*/\1/p" \
        <(tr '\n' ' ' <"$dir/fleet.template.json" | sed 's/{"name"/\n{"name"/g')
}

wait_for() { # url seconds
    local deadline=$((SECONDS + $2))
    until curl -sf -o /dev/null --max-time 2 "$1"; do
        if [ $SECONDS -ge $deadline ]; then
            echo "fleet.sh: no answer from $1" >&2
            return 1
        fi
        sleep 0.1
    done
}

up() {
    mkdir -p "$dir"
    "$bin/standin-fleetplan" --dir="$dir" "${plan_flags[@]}"
    cp "$dir/fleet.template.json" "$dir/fleet.json"
    : >"$dir/pids"
    while IFS=$'\t' read -r name role command; do
        # shellcheck disable=SC2086
        "$bin"/$command >"$dir/$name.out" 2>&1 </dev/null &
        echo "$name $!" >>"$dir/pids"
        sed -i "s/\"@$name@\"/$!/" "$dir/fleet.json"
    done <"$dir/plan.txt"
    local store hosts
    store=$(address_of objectapi control)
    hosts=$(address_of hostlist control)
    wait_for "http://$store/counts" 20
    wait_for "http://$hosts/hosts" 20
    curl -sf -o /dev/null -X PUT --data-binary "@$dir/config.json" "http://$store/objects/config"
    curl -sf -o /dev/null -X PUT --data-binary "@$dir/hosts.json" "http://$hosts/hosts"
    while IFS=$'\t' read -r name role command; do
        case $role in
        entry) wait_for "http://$(address_of "$name" caller)/readyz" 30 ;;
        upstream) wait_for "http://$(address_of "$name" admin)/readyz" 30 ;;
        esac
    done <"$dir/plan.txt"
}

down() {
    [ -f "$dir/pids" ] || return 0
    # Entries first, so that they finish while their upstreams still answer.
    tac "$dir/pids" | while read -r name pid; do
        kill -CONT "$pid" 2>/dev/null || true
        kill -TERM "$pid" 2>/dev/null || true
    done
    local deadline=$((SECONDS + 15))
    while read -r name pid; do
        while kill -0 "$pid" 2>/dev/null; do
            if [ $SECONDS -ge $deadline ]; then
                kill -KILL "$pid" 2>/dev/null || true
            fi
            sleep 0.1
        done
    done <"$dir/pids"
    rm -f "$dir/pids"
}

case $action in
up) up ;;
down) down ;;
*) echo "usage: fleet.sh up|down --dir DIR ..." >&2; exit 2 ;;
esac
