#!/usr/bin/env bash
# Builds the programs of the review's scripts, with their stand-ins, into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.cpp; do
    [ -f "$source" ] || continue
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" \
        -o "target/review/case-$(basename "$(dirname "$source")")" -lboost_json
done
