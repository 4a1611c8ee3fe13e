#!/bin/sh
# Starts the stand-ins and three nodes, and runs until interrupted. Usage: scripts/run.sh BUILD
# Stops only what it started.
set -eu
cd "$(dirname "$0")/.."
build=$1
logs=$(mktemp -d)
pids=""

stop_all() {
    trap - EXIT INT TERM
    for pid in $pids; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in $pids; do wait "$pid" 2>/dev/null || true; done
    rm -rf "$logs"
    exit 0
}
trap stop_all EXIT INT TERM

# start NAME PROGRAM FLAGS...: starts a process and sets $pid
start() {
    name=$1
    shift
    "$build/$@" >"$logs/$name.log" 2>&1 &
    pid=$!
    pids="$pids $pid"
}

# register ID ROLE SERVICE ZONE ADDRESS: tells the platform of the process in $pid
register() {
    curl -sf -o /dev/null --noproxy '*' -X POST http://127.0.0.1:7000/standin/v1/machines -d \
        "{\"id\":\"$1\",\"role\":\"$2\",\"service\":\"$3\",\"zone\":\"$4\",\"address\":\"$5\",\"pid\":$pid}"
}

# wait_for URL: until it answers
wait_for() {
    tries=0
    until curl -s -o /dev/null --noproxy '*' "$1"; do
        tries=$((tries + 1))
        [ "$tries" -lt 200 ] || { echo "nothing answers at $1; logs are in $logs" >&2; trap - EXIT; exit 1; }
        sleep 0.05
    done
}

start platform wb-standin-platform --listen 127.0.0.1:7000
wait_for http://127.0.0.1:7000/
for i in 1 2 3 4; do
    service=assistant
    [ "$i" = 4 ] && service=seat-lock
    start "engine-$i" wb-standin-engine --id "engine-$i" --listen "127.0.0.1:710$i" \
        --weights 127.0.0.1:7000
    wait_for "http://127.0.0.1:710$i/"
    register "engine-$i" engine "$service" "oslo-$i" "127.0.0.1:710$i"
done
for i in 0 1 2; do
    start "node-$i" wickbridged --id "node-$i" --zone "oslo-$((i + 1))" \
        --listen-callers "127.0.0.1:808$i" --listen-nodes "127.0.0.1:818$i" \
        --listen-operators "127.0.0.1:828$i" \
        --seeds 127.0.0.1:8180,127.0.0.1:8181,127.0.0.1:8182 --platform 127.0.0.1:7000
    wait_for "http://127.0.0.1:828$i/healthz"
    register "node-$i" node "" "oslo-$((i + 1))" "127.0.0.1:818$i"
done
tries=0
until "$build/wickctl" apply -f examples/rail --author make-run >"$logs/apply.log" 2>&1; do
    tries=$((tries + 1))
    [ "$tries" -lt 50 ] || { cat "$logs/apply.log" >&2; exit 1; }
    sleep 0.2
done
for i in 0 1 2; do
    until curl -sf -o /dev/null --noproxy '*' "http://127.0.0.1:828$i/readyz"; do sleep 0.1; done
done
echo "ready: three nodes on 127.0.0.1:8080, :8081 and :8082; operators on :8280 to :8282"
echo "curl http://127.0.0.1:8080/v1/chat/completions -d '{\"model\":\"rebooking-nb\",\"messages\":[{\"role\":\"user\",\"content\":\"My train is cancelled.\"}]}'"
wait
