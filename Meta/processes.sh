# Sourced by scripts that start programs of the build. Sets `bin` and a working directory, and stops
# the started processes by their process ids when the script exits.
bin=$PWD/Build/release/bin
work=$(mktemp -d)
declare -A pids=()
stop() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap stop EXIT

await() { # await FILE PATTERN: waits until the file has a line that matches, and prints it
    for _ in $(seq 600); do
        if grep -m1 -E "$2" "$1" 2>/dev/null; then return 0; fi
        sleep 0.05
    done
    echo "no '$2' in $1:" >&2
    tail -5 "$1" >&2
    return 1
}
start() { # start NAME PROGRAM ARGUMENTS...
    local name=$1
    shift
    : >"$work/$name"
    "$bin/$1" "${@:2}" >"$work/$name" 2>&1 &
    pids[$name]=$!
}
listening() { await "$work/$1" '^listening on' | sed 's/listening on //'; }
port() { await "$work/$1" "\"port\":\"$2\"" | sed 's/.*"address":"\([^"]*\)".*/\1/'; }
