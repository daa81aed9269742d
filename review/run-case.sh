#!/usr/bin/env bash
# Runs the program of one case: run-case.sh NUMBER. TROUBLE=0: without the disruption.
set -u
cd "$(dirname "$0")/.." || exit 2
number=$1
program=target/review/case-$number
if [ ! -x target/tamarackseamd ] || [ ! -x "$program" ]; then
    echo "not built: run the build of deploy/system.toml, then review/build.sh" >&2
    exit 2
fi
folder=$(mktemp -d) || exit 2
timeout --signal=KILL 115 "$program" "$folder" "review/$number/record.txt"
code=$?
if [ -n "${KEEP:-}" ]; then echo "logs: $folder"; else rm -rf "$folder"; fi
case $code in
0 | 1) exit $code ;;
*) exit 2 ;;
esac
