#!/usr/bin/env bash
# Runs the case of one folder: review/run-case-2.sh NUMBER. Exits with 1 if the rule was broken, 0
# if it held, 2 if the case could not run. TROUBLE=0 plays it without the disruption.
set -uo pipefail
cd "$(dirname "$0")/.." || exit 2
program=target/review-2/case-$1
[ -x "$program" ] && [ -x target/tamarackseamd ] || {
    echo "build first: the build of deploy/system.toml, then review/build-2.sh" >&2
    exit 2
}
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
"$program" "review/$1/record.txt" "$folder"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
