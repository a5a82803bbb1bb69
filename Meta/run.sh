#!/usr/bin/env bash
# Demonstrates the daemon: installs missing packages, builds, starts the daemon with the embedded
# platform in front of a stand-in engine, sends a streaming request, shows the answer and the status,
# and stops the started processes.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/install-packages.sh
Meta/build.sh release
. Meta/processes.sh

start engine standin-engine --port 0
engine=$(listening engine)
start daemon jujubesaddled --listen 127.0.0.1:0 --admin 127.0.0.1:0 --platform embedded \
    --config Examples/small-site.toml --upstream "engines=$engine" --drain-grace-ms 0 \
    --log-format json
callers=$(port daemon callers)
admin=$(port daemon admin)
for _ in $(seq 200); do
    curl -sf "http://$admin/status" | grep -q "$engine" && break
    sleep 0.05
done

echo "== a streaming request to http://$callers/v1/chat/completions"
curl -sSN "http://$callers/v1/chat/completions" -H 'Authorization: Bearer example-key' \
    -d '{"model":"small-model","stream":true,"max_tokens":8,
         "messages":[{"role":"user","content":"Check this spread."}]}' | tee "$work/answer"
grep -q '\[DONE\]' "$work/answer"

echo "== status"
"$bin/jujubectl" status --admin "$admin"
