#!/usr/bin/env bash
# Runs every scenario and the benchmark of the placement decision, then prints one row per target.
# Options are passed on to jujubebench; --quick runs only the short scenarios, with equal results on every run.
# Exits with 1 if a target is missed.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/build.sh release >/dev/null
quick=0
for option in "$@"; do [ "$option" = --quick ] && quick=1; done
status=0
if [ "$quick" -eq 0 ]; then
    Build/release/bin/jujubedecision --benchmark_min_time=0.2
    echo
fi
Build/release/bin/jujubebench Utilities/jujubebench/scenarios/*.toml "$@" || status=$?
if [ "$quick" -eq 1 ]; then rows=--allocations; else rows=--targets; fi
Build/release/bin/jujubedecision "$rows" || status=1
exit "$status"
