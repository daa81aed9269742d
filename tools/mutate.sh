#!/usr/bin/env bash
# Shows that the checks can fail: builds the tests with one deliberate fault at a time and
# expects the named suites to find it. Works on a copy; usage: mutate.sh [SCRATCH_DIR [PATTERN]]
# PATTERN picks the faults by their line in mutations.txt.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
scratch=${1:-$(mktemp -d)}
pattern=${2:-.}
mkdir -p "$scratch/tree"
(cd "$root" && git ls-files -z | xargs -0 tar cf -) | tar xf - -C "$scratch/tree"
rm -rf "$scratch/original"
cp -r "$scratch/tree" "$scratch/original"
cmake -S "$scratch/tree" -B "$scratch/build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
missed=0
# A test that fails without a fault finds none.
mapfile -t red < <(sed -n 's|^test: \([A-Za-z0-9_/]*\).*|\1|p' "$scratch/tree/KNOWN-RED.txt")
# A fault may also show as a test that never ends.
bound=120
while IFS=$'\t' read -r name file expression suites; do
    [[ -z $name || $name == \#* ]] && continue
    cp "$scratch/original/$file" "$scratch/tree/$file"
    sed -i -e "$expression" "$scratch/tree/$file"
    if cmp -s "$scratch/original/$file" "$scratch/tree/$file"; then
        echo "NOT APPLIED | $name"
        missed=$((missed + 1))
        continue
    fi
    if ! ninja -C "$scratch/build" unit-tests >"$scratch/build.log" 2>&1; then
        echo "NO BUILD | $name"
        missed=$((missed + 1))
    elif timeout "$bound" "$scratch/build/unit-tests" --run_test="$suites" "${red[@]/#/--run_test=!}" \
        >"$scratch/run.log" 2>&1; then
        echo "MISSED | $name | $suites"
        missed=$((missed + 1))
    else
        echo "found | $name | $suites | $(grep -c 'error: in' "$scratch/run.log") failed checks"
    fi
    cp "$scratch/original/$file" "$scratch/tree/$file"
done < <(grep -E "$pattern" "$scratch/original/tools/mutations.txt")
exit $((missed > 0))
