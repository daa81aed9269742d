#!/usr/bin/env bash
# Builds everything and runs all checks: unit tests, formatter and linter.
set -euo pipefail
cd "$(dirname "$0")/.."

tools/install.sh
cmake -S . -B build -G Ninja >/dev/null
ninja -C build
mapfile -t sources < <(git ls-files '*.cpp' '*.h' ':!src/peer/generated/*')
clang-format-16 --dry-run --Werror "${sources[@]}"
# The linter reads neither Cap'n Proto's headers nor the compiler's precompiled ones: it checks the
# cores, which use none.
mapfile -t linted < <(git ls-files 'src/base/*.cpp' 'src/config/*.cpp' 'src/sched/*.cpp' \
    'src/claims/*.cpp' 'src/gate/*.cpp' 'src/orders/*.cpp' 'tools/model/*.cpp')
printf '%s\n' "${linted[@]}" | xargs -P "$(nproc)" -n 2 clang-tidy-16 --quiet -p build
ctest --test-dir build --output-on-failure
