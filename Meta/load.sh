#!/usr/bin/env bash
# Measures the daemon as a process: the latency that it adds to the engines, and how well an instance
# places its first requests after a restart. Not part of CI, because it measures times. Needs a
# finished release build. REQUESTS, TOKENS, FIRST, ROUNDS and SEED set the workload.
set -euo pipefail
cd "$(dirname "$0")/.."
. Meta/processes.sh
requests=${REQUESTS:-3000}
tokens=${TOKENS:-32}
first=${FIRST:-100}
rounds=${ROUNDS:-3}
seed=${SEED:-1}
export JUJUBELOAD_KEY=example-key JUJUBELOAD_MODEL=small-model JUJUBELOAD_SEED=$seed
export JUJUBE_PEER_KEY="a key for measurements only"
# Set if an answer was faulty or a daemon did not exit cleanly; the script then exits with 1.
failed=0
end() { # end NAME...: asks the processes to stop, and waits for them
    local name
    for name in "$@"; do kill "${pids[$name]}"; done
    for name in "$@"; do
        local code=0
        wait "${pids[$name]}" || code=$?
        if [ "$code" -ne 0 ]; then
            echo "$name ended with exit code $code"
            failed=1
        fi
        unset "pids[$name]"
    done
}
status() { curl -sf "http://$(port "$1" admin)/status"; }
awaitStatus() { # awaitStatus DAEMON PYTHON-CONDITION ON status
    for _ in $(seq 600); do
        if status "$1" | python3 -c "import json,sys; status=json.load(sys.stdin)
sys.exit(not ($2))" 2>/dev/null; then return 0; fi
        sleep 0.05
    done
    echo "$1 never had: $2" >&2
    status "$1" >&2
    return 1
}
unlessAnswersOnly() { # unlessAnswersOnly CODE RUN: faulty answers show in the run's row
    failed=1
    [ "$1" -eq 1 ] && return 0
    echo "run $2 ended with exit code $1" >&2
    return 1
}
targets() { printf -- '--target %s ' "$@"; }
show() { # show LABEL FILE...: one row of each run
    python3 - "$@" <<'PYTHON'
import json, sys
for path in sys.argv[2:]:
    run = json.load(open(path))
    first, gap = run["first_token_ms"], run["between_tokens_ms"]
    print("| %-24s | %7.1f | %8.0f | %6.2f | %6.2f | %6.2f | %6.3f | %6.3f | %.4f | %s | %s |" % (
        sys.argv[1], run["requests_per_second"], run["tokens_per_second"], first["p50"],
        first["p95"], first["p99"], gap["p50"], gap["p99"], run["cached_share"],
        run["answers_digest"], json.dumps(run["errors"])))
PYTHON
}
header() {
    echo "| run | requests/s | tokens/s | first token p50 ms | p95 | p99 | between tokens p50 ms |" \
        "p99 | cached share | digest of answers | errors |"
}
added() { # added LABEL DIRECT THROUGH
    python3 - "$@" <<'PYTHON'
import json, sys
direct, through = (json.load(open(path)) for path in sys.argv[2:])
for part in ("first_token_ms", "between_tokens_ms", "whole_answer_ms"):
    print("added %-24s %-18s p50 %+.3f ms, p99 %+.3f ms" % (sys.argv[1], part,
        through[part]["p50"] - direct[part]["p50"], through[part]["p99"] - direct[part]["p99"]))
if direct["answers_digest"] != through["answers_digest"]:
    sys.exit("answers through " + sys.argv[1] + " differ from the engines' own")
PYTHON
}

echo "machine: $(nproc) cores, load average $(cut -d' ' -f1-3 /proc/loadavg) before the runs"

echo "== added latency: $requests requests, $tokens tokens, seed $seed, two engines"
engine=(standin-engine --port 0 --slots 8 --decode-us 100 --prefill-us-per-kb 10)
start engine1 "${engine[@]}"
start engine2 "${engine[@]}"
engines=("$(listening engine1)" "$(listening engine2)")
embedded() { # embedded NAME: a daemon without a platform
    start "$1" jujubesaddled --listen 127.0.0.1:0 --admin 127.0.0.1:0 --platform embedded \
        --config Examples/small-site.toml --upstream "engines=${engines[0]}" \
        --upstream "engines=${engines[1]}" --threads 2 --drain-grace-ms 0 --log-format json \
        --log-level info
    awaitStatus "$1" 'status["ready"] and len(status["upstreams"]) == 2'
}
embedded alone1
embedded alone2
through=("$(port alone1 callers)" "$(port alone2 callers)")
measure() { # measure NAME TARGET...: a run in a file; an error shows in the row
    local name=$1
    shift
    # shellcheck disable=SC2046
    "$bin/jujubeload" $(targets "$@") --requests "$requests" --tokens "$tokens" --json \
        "${extra[@]}" >"$work/$name.json" || unlessAnswersOnly $? "$name"
}
header
for connections in 1 8; do
    extra=(--connections "$connections")
    measure warm-up "${engines[@]}"
    measure direct "${engines[@]}"
    measure one "${through[0]}"
    measure two "${through[@]}"
    show "engines, $connections at a time" "$work/direct.json"
    show "one daemon, $connections" "$work/one.json"
    show "two daemons, $connections" "$work/two.json"
    added "one daemon, $connections" "$work/direct.json" "$work/one.json"
    added "two daemons, $connections" "$work/direct.json" "$work/two.json"
done
end alone1 alone2

echo "== restart: cached share of the first $first requests at a fresh daemon"
start platform standin-platform --port 0
platform=$(listening platform)
list() { curl -sf "http://$platform/control/instances" -d "$1" >/dev/null; }
# An engine can cache 48 of the 80 blocks of the shared prefixes, so the choice of the engine matters.
site=(--prompt-bytes 34000 --shared-prefix-bytes 32000 --prefixes 32 --tokens 4)
siteEngines=()
for n in 1 2 3 4; do
    start "site$n" standin-engine --port 0 --slots 8 --decode-us 100 --prefill-us-per-kb 10 \
        --cache-pieces 48
    list "{\"id\":\"site$n\",\"role\":\"upstream\",\"group\":\"engines\",\"data_centre\":\"a\",
           \"address\":\"$(listening "site$n")\",\"state\":\"live\",\"incarnation\":$n}"
    siteEngines+=("$(listening "site$n")")
done
daemon() { # daemon NAME
    start "$1" jujubesaddled --listen 127.0.0.1:0 --admin 127.0.0.1:0 --instance "$1" \
        --data-centre a --platform "$platform" --peer 127.0.0.1:0 --threads 2 \
        --drain-grace-ms 200 --log-format json --log-level info
    list "{\"id\":\"$1\",\"role\":\"entry\",\"data_centre\":\"a\",\"state\":\"live\",
           \"address\":\"$(port "$1" peer)\",\"admin\":\"$(port "$1" admin)\"}"
}
ready() { # ready DAEMON SIBLINGS
    awaitStatus "$1" "status['ready'] and len(status['upstreams']) == 4 \
        and len(status['siblings']) == $2"
}
both() { ready one 1 && ready two 1; }
skip=0
send() { # send NAME COUNT TARGET...: the next requests of the seeded work
    local name=$1 count=$2
    shift 2
    # shellcheck disable=SC2046
    "$bin/jujubeload" $(targets "$@") --requests "$count" --skip "$skip" --connections 4 --json \
        "${site[@]}" >"$work/$name.json" || unlessAnswersOnly $? "$name"
    skip=$((skip + count))
}
warm() { send warm 800 "$(port one callers)" "$(port two callers)"; }
daemon one
daemon two
"$bin/jujubectl" --platform "$platform" --environment production config publish --untried \
    Examples/small-site.toml >/dev/null
both
header
for round in $(seq "$rounds"); do
    warm
    send kept "$first" "$(port two callers)"
    show "round $round, not restarted" "$work/kept.json"
    warm
    end two
    daemon two
    ready two 1
    send sibling "$first" "$(port two callers)"
    show "round $round, warm sibling" "$work/sibling.json"
    both
    warm
    end one two
    daemon one
    daemon two
    both
    send herd "$first" "$(port two callers)"
    show "round $round, all restarted" "$work/herd.json"
    # Baseline without placement: round-robin over the engines, after the same amount of work.
    send warm 800 "${siteEngines[@]}"
    send turns "$first" "${siteEngines[@]}"
    show "round $round, engines in turn" "$work/turns.json"
done
echo "machine: load average $(cut -d' ' -f1-3 /proc/loadavg) after the runs"
[ "$failed" -eq 0 ]
