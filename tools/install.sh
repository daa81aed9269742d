#!/usr/bin/env bash
# Installs what the build and the tests need on Debian 12.
set -euo pipefail

packages=(g++ cmake ninja-build ccache curl gnuplot-nox
    libboost1.81-dev libboost-json1.81-dev libboost-test1.81-dev
    libcapnp-dev capnproto libabsl-dev libspdlog-dev libexpected-dev libssl-dev
    clang-format-16 clang-tidy-16)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
if [ ${#missing[@]} -gt 0 ]; then
    export DEBIAN_FRONTEND=noninteractive
    apt-get update -qq
    apt-get install -y -qq "${missing[@]}" >/dev/null
fi
