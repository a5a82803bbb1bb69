#!/usr/bin/env bash
# Measures the slopes of docs/CAPACITY.md again and prints the page's tables. Arguments are passed
# on, e.g. --quick or --role membership.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/build.sh release >&2
exec Build/release/bin/jujubecapacity "$@"
