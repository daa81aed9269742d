#!/usr/bin/env bash
# Chosen faults on real processes with real sockets. Each case runs a load, brings about the fault
# and compares what callers were told with what the stand-ins saw. usage: faults.sh [--dir DIR]
set -uo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
bin=${TAMARACK_BIN:-$root/build}
dir=$(mktemp -d)
[ "${1:-}" = --dir ] && dir=$2
failures=0
cases=0

addresses() { # role kind
    tr '\n' ' ' <"$dir/fleet.json" | sed 's/{"name"/\n{"name"/g' |
        sed -n "s/.*\"role\":\"$1\".*\"$2\":\"\([0-9.:]*\)\".*/\1/p"
}
address() { # name kind
    tr '\n' ' ' <"$dir/fleet.json" | sed 's/{"name"/\n{"name"/g' |
        sed -n "s/.*\"name\":\"$1\".*\"$2\":\"\([0-9.:]*\)\".*/\1/p"
}
pid_of() { awk -v n="$1" '$1 == n { print $2 }' "$dir/pids"; }
control() { curl -sf -o /dev/null -X POST -d "$2" "http://$(address "$1" control)/control"; }
token() { sed -n "s/.*\"$1\":\"\([^\"]*\)\".*/\1/p" "$dir/fleet.json"; }

restart() { # name: starts the process of the plan again
    local command
    command=$(awk -F'\t' -v n="$1" '$1 == n { print $3 }' "$dir/plan.txt")
    # shellcheck disable=SC2086
    "$bin"/$command >>"$dir/$1.out" 2>&1 </dev/null &
    sed -i "s/^$1 .*/$1 $!/" "$dir/pids"
}

check() { # text command...
    local text=$1
    shift
    if ! "$@"; then
        echo "    FAILED: $text"
        failures=$((failures + 1))
    fi
}

ids_seen() {
    for engine in $(addresses engine control); do
        curl -sf --max-time 5 "http://$engine/log" | grep -o '"requests":\[[^]]*\]' |
            grep -o '[0-9a-f]\{16\}-[0-9a-f]\{16\}'
    done
}
bodies_run() {
    for service in $(addresses service control); do
        curl -sf --max-time 5 "http://$service/log" | grep -o '"body":"[^}]*slot[^}]*}"'
    done
}
no_id_twice() { [ -z "$(ids_seen | sort | uniq -d)" ]; }
no_body_twice() { [ -z "$(bodies_run | sort | uniq -d)" ]; }
not_run_is_true() {
    sort -u "$dir/not-run.log" | grep . >"$dir/not-run.sorted"
    [ -z "$(ids_seen | sort -u | comm -12 - "$dir/not-run.sorted")" ]
}

run_case() { # name allow_broken fault-function
    cases=$((cases + 1))
    echo "case: $1"
    rm -rf "$dir"
    mkdir -p "$dir"
    "$root/tools/fleet.sh" up --dir "$dir" --entries 2 --upstreams 4 --services 1 --links || exit 1
    local flags=()
    [ "$2" = yes ] && flags+=(--allow_broken)
    "$bin/standin-load" --fleet="$dir/fleet.json" --rate=50 --seconds=8 --service_share=0.3 \
        --max_tokens=30 --not_run_log="$dir/not-run.log" "${flags[@]}" >"$dir/load.txt" 2>&1 &
    local load=$!
    sleep 2
    "$3"
    check "callers got their own whole answers" wait "$load"
    sed 's/^/    /' "$dir/load.txt"
    check "an engine saw a request twice" no_id_twice
    check "a keyed call ran twice" no_body_twice
    check "a request that was told not run has run" not_run_is_true
    "$root/tools/fleet.sh" down --dir "$dir"
}

kill_entry() { kill -9 "$(pid_of entry-1)"; sleep 1; restart entry-1; }
kill_upstream_process() { kill -9 "$(pid_of up-engine-2)"; sleep 0.5; restart up-engine-2; }
kill_service_process() { kill -9 "$(pid_of up-booking-app)"; sleep 0.5; restart up-booking-app; }
pause_upstream_process() { kill -STOP "$(pid_of up-engine-1)"; sleep 3; kill -CONT "$(pid_of up-engine-1)"; }
pause_entry() { kill -STOP "$(pid_of entry-2)"; sleep 3; kill -CONT "$(pid_of entry-2)"; }
silent_links() { control link-up-engine-1 '{"silence":true}'; control link-up-booking-app '{"silence":true}'; }
cut_links() { for i in 1 2 3; do control link-up-engine-$i '{"cut":true}'; sleep 0.5; done; }
crash_engine() { control engine-3 '{"crash":true}'; }
stall_engine() { control engine-4 '{"stall":true}'; sleep 3; control engine-4 '{"stall":false}'; }
break_streams() { control engine-2 '{"break_streams":true}'; }
store_down() { control objectapi '{"down":true}'; sleep 3; control objectapi '{"down":false}'; }
store_slow() { control objectapi '{"delay_ms":300}'; sleep 3; control objectapi '{"delay_ms":2}'; }
store_loses() { control objectapi '{"lose_answers_percent":60}'; sleep 4; control objectapi '{"lose_answers_percent":0}'; }
store_stale() { control objectapi '{"stale_reads":true}'; sleep 4; control objectapi '{"stale_reads":false}'; }
stop_upstream() { kill -TERM "$(pid_of up-engine-4)"; }
stop_entry() { kill -TERM "$(pid_of entry-2)"; }
mark_upstream() {
    TAMARACK_TOKEN=$(token operator) "$bin/tamarackseamctl" --admin="$(address entry-1 admin)" \
        --wait mark up-engine-3 leave >/dev/null
    local before after
    sleep 3
    before=$(curl -s "http://$(address engine-3 control)/log" | grep -o '[0-9a-f]\{16\}-[0-9a-f]\{16\}' | wc -l)
    sleep 1.5
    after=$(curl -s "http://$(address engine-3 control)/log" | grep -o '[0-9a-f]\{16\}-[0-9a-f]\{16\}' | wc -l)
    check "a leaving upstream got new work" [ "$before" = "$after" ]
}

run_case "entry killed, restarted" yes kill_entry
run_case "upstream process killed, restarted" no kill_upstream_process
run_case "service's upstream process killed, restarted" no kill_service_process
run_case "upstream process stopped for 3 s" no pause_upstream_process
run_case "entry stopped for 3 s" no pause_entry
run_case "connections silent, new ones work" no silent_links
run_case "connections cut" no cut_links
run_case "engine crashes" yes crash_engine
run_case "engine stalls for 3 s" no stall_engine
run_case "engine breaks its streams" no break_streams
run_case "object API down for 3 s" no store_down
run_case "object API slow" no store_slow
run_case "object API loses answers" no store_loses
run_case "object API reads old" no store_stale
run_case "planned stop of an upstream process" no stop_upstream
run_case "planned stop of an entry" yes stop_entry
run_case "upstream marked to leave" no mark_upstream
echo "$cases cases, $failures failed checks"
rm -rf "$dir"
[ "$failures" = 0 ]
