#!/usr/bin/env bash
# Builds the programs of the cases 11 to 15 into target/review-3, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/case.cpp; do
    name=$(basename "$(dirname "$source")")
    "${CXX:-g++}" -std=c++20 -O1 -g -Wall -Wextra -pthread "$source" -o "target/review-3/case-$name"
done
