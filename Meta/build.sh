#!/usr/bin/env bash
# Configures and builds one preset (release by default).
set -euo pipefail
cd "$(dirname "$0")/.."
preset=${1:-release}
[ -f "Build/$preset/build.ninja" ] || cmake --preset "$preset" >/dev/null
cmake --build "Build/$preset" -- ${JOBS:+-j "$JOBS"}
