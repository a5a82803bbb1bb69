#!/usr/bin/env bash
# Installs every Debian package the build, the tests and the checks need.
set -euo pipefail
packages=(
    g++ cmake ninja-build ccache git curl clang-format clang-tidy
    libboost1.81-dev libboost-json1.81-dev libflatbuffers-dev libcli11-dev libeasyloggingpp-dev
    catch2 libtoml11-dev libxxhash-dev libssl-dev liburcu-dev libbenchmark-dev
)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0
run=()
[ "$(id -u)" -eq 0 ] || run=(sudo)
"${run[@]}" apt-get update -qq
"${run[@]}" env DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}"
