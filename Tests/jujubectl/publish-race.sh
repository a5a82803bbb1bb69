#!/usr/bin/env bash
# Operators race as processes against one platform: one wins, the others are refused, and production
# gets the same bytes. A frozen platform ends in "unavailable". Arguments: the folder of the programs
# and the source folder.
set -euo pipefail
programs=$1
source=$2
work=$(mktemp -d)
: >"$work/platform"
"$programs/standin-platform" --port 0 >"$work/platform" 2>&1 &
platform=$!
trap 'kill -CONT $platform; kill $platform; rm -rf "$work"' EXIT
until grep -q 'listening on' "$work/platform"; do sleep 0.1; done
address=$(sed -n 's/.*listening on //p' "$work/platform")

run() { "$programs/jujubectl" --platform "$address" "$@"; }
fail() { echo "failed: $1"; exit 1; }

for n in 1 2 3 4 5 6; do
    { echo "# by operator $n"; cat "$source/Examples/liit.toml"; } >"$work/document$n"
    {
        code=0
        run config publish --replaces 0 --publisher "operator$n" "$work/document$n" \
            >"$work/out$n" 2>&1 || code=$?
        echo "$code" >"$work/code$n"
    } &
    racers[$n]=$!
done
wait "${racers[@]}"

codes=$(cat "$work"/code? | sort | tr -d '\n')
[ "$codes" = 044444 ] || fail "exit codes $codes"
winner=$(grep -l '^0$' "$work"/code? | sed 's/.*code//')
run config show --document | cmp - "$work/document$winner" || fail "not the winner's document"

run config promote || fail "promote"
run --environment production config show --document | cmp - "$work/document$winner" \
    || fail "other bytes in production"

kill -STOP "$platform"
until grep -q '^State:.*T' "/proc/$platform/status"; do sleep 0.1; done
code=0
run --timeout-ms 500 config show || code=$?
[ "$code" = 5 ] || fail "exit code $code with the platform frozen"
echo passed
