#!/usr/bin/env bash
# Runs the unit tests, given their program. Each test that KNOWN-RED.txt names (`test: SUITE/CASE`)
# must fail, all others must pass.
set -euo pipefail
cd "$(dirname "$0")/.."

program=$1
mapfile -t red < <(sed -n 's|^test: \([A-Za-z0-9_/]*\).*|\1|p' KNOWN-RED.txt)
# Run by themselves: the first lowers the limit on descriptors, of which the other tests leave many
# open; the second starts so many entries that the ports of one process would not suffice for all.
apart=(MisbehavingClientsSuite SoleVersionSuite)
"$program" --log_level=test_suite "${red[@]/#/--run_test=!}" "${apart[@]/#/--run_test=!}"
for suite in "${apart[@]}"; do
    "$program" --log_level=test_suite --run_test="$suite"
done
for test in "${red[@]}"; do
    output=$("$program" --run_test="$test" 2>&1) && status=0 || status=$?
    if [ "$status" = 0 ] || grep -q 'no test cases matching' <<<"$output"; then
        echo "listed in KNOWN-RED.txt, but it passes or does not exist: $test"
        exit 1
    fi
    echo "known red: $test"
done
