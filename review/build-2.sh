#!/usr/bin/env bash
# Builds the stand-ins of the scripts 6 to 10, after the build of the deploy file. Each case is one
# program that plays the store, the replicas and the clients; no part of the project is needed.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/{6,7,8,9,10}/case.cpp; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra "$source" -o "target/review-2/case-$number" \
        -lboost_json -pthread
done
