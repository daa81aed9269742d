#!/usr/bin/env bash
# Fails when a name of the users' platform is used outside platform/. Single lower-case words are
# skipped: they are common words of the product as well.
set -euo pipefail
cd "$(dirname "$0")/.."

failed=0
while read -r name; do
    [[ $name =~ [A-Z_-] ]] || continue
    if found=$(grep -rnF "\"$name\"" src include ctl --include='*.cpp' --include='*.h'); then
        echo "name of the platform outside platform/: $name"
        echo "$found"
        failed=1
    fi
done < <(sed -n 's/.*= "\(.*\)";.*/\1/p' platform/WireNames.h | sort -u)
exit $failed
