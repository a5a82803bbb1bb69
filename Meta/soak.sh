#!/usr/bin/env bash
# Plays seeded troubles against real gateway processes, and prints one line per seed: what was done
# and which rules were broken. Exits with 1 if any was.
#   Meta/soak.sh FIRST LAST [SECONDS [INSTANCES [UPSTREAMS [JOBS]]]]
# plays the seeds FIRST to LAST, by default 40 s each with 6 instances and 8 upstreams, 2 at once.
# Every seed's report, settings and logs are in $SOAK_FOLDER/seed-N, by default in /tmp/jujube-soak.
# $SOAK_CLIENTS (40) and $SOAK_ZONES (at most 2 data centres) change the rest; with SOAK_LIMITS=1,
# upstreams name limits besides; $SOAK_GATEWAY names the program of another build. The programs are
# copied first, so that a build may go on meanwhile.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "$#" -lt 2 ]; then
    sed -n '2,9s/^# \{0,1\}//p' "$0"
    exit 2
fi
[ -x Build/release/bin/TestSoak ] || Meta/build.sh release >&2
export SOAK_SECONDS=${3:-40} SOAK_INSTANCES=${4:-6} SOAK_UPSTREAMS=${5:-8}
export SOAK_FOLDER=${SOAK_FOLDER:-/tmp/jujube-soak}
mkdir -p "$SOAK_FOLDER"
programs=$(mktemp -d "$SOAK_FOLDER/programs-XXXXXX")
trap 'rm -rf "$programs"' EXIT
cp Build/release/bin/TestSoak "$programs/"
cp "${SOAK_GATEWAY:-Build/release/bin/jujubesaddle-gateway}" "$programs/jujubesaddle-gateway"
export SOAK_PROGRAM=$programs/TestSoak SOAK_GATEWAY=$programs/jujubesaddle-gateway
play() {
    local output=$SOAK_FOLDER/output-$1
    local status=0
    SOAK_FIRST_SEED=$1 SOAK_LAST_SEED=$1 "$SOAK_PROGRAM" "gateway processes keep*" \
        >"$output" 2>&1 || status=1
    grep '^seed ' "$output" || { echo "seed $1: the test ended early, see $output"; status=1; }
    return "$status"
}
export -f play
seq "$1" "$2" | xargs -P "${6:-2}" -I{} bash -c 'play {}'
