#!/usr/bin/env bash
# Sets up and runs the main job: installs what is missing, builds, starts the daemon with the
# embedded platform before a stand-in engine, sends a streaming request, shows the answer and the
# status, and stops what it started.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/install-packages.sh
Meta/build.sh release
bin=Build/release/bin
work=$(mktemp -d)
started=()
stop() {
    for pid in "${started[@]}"; do kill "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap stop EXIT

await() { # await FILE PATTERN: waits until the file has a line that matches, and prints it
    for _ in $(seq 200); do
        if grep -m1 -E "$2" "$1" 2>/dev/null; then return 0; fi
        sleep 0.05
    done
    echo "no '$2' in $1:" >&2
    cat "$1" >&2
    return 1
}

"$bin/standin-engine" --port 0 >"$work/engine" &
started+=($!)
engine=$(await "$work/engine" '^listening on' | sed 's/listening on //')

"$bin/jujubesaddled" --listen 127.0.0.1:0 --admin 127.0.0.1:0 --platform embedded \
    --config Examples/small-site.toml --upstream "engines=$engine" --drain-grace-ms 0 \
    --log-format json 2>"$work/daemon" &
started+=($!)
address() { await "$work/daemon" "\"port\":\"$1\"" | sed 's/.*"address":"\([^"]*\)".*/\1/'; }
callers=$(address callers)
admin=$(address admin)
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
if [ -x "$bin/jujubectl" ]; then
    "$bin/jujubectl" status --admin "$admin"
else
    curl -sS "http://$admin/status"
    echo
fi
