#!/usr/bin/env bash
# Measures the cost of control as the fleet grows: processor time, memory and network traffic of an
# idle node, calls to the object API, and the time until a bundle is in force on all nodes. Loopback
# only, at most about a hundred small processes; takes about five minutes.
#
# Usage: scripts/measure-scale.sh [NODES ENGINES ORGANISATIONS MODELS]
# Without arguments, measures the sizes in docs/CAPACITY.md. Prints CSV.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/common.sh
build release
settle_seconds=6
measure_seconds=10

lo_bytes() { awk '$1 == "lo:" { print $10 }' /proc/net/dev; }
calls() { curl -sf "http://$net.1:9000/stand-in/calls"; }
field() { grep -o "\"$1\":[0-9]*" | cut -d: -f2; }

# Prints the clock ticks used by the control threads, which are the main threads of the nodes.
control_ticks() {
    local sum=0 node
    for node in "${node_pids[@]}"; do
        sum=$((sum + $(awk '{ print $14 + $15 }' "/proc/$node/task/$node/stat")))
    done
    echo "$sum"
}

size() { # NODES ENGINES ORGANISATIONS MODELS
    local nodes=$1 engines=$2 organisations=$3 models=$4
    own_net
    node_pids=()
    start platform "$bin/examples/platform" --listen "$net.1:9000"
    sleep 0.5
    local vms="" n
    for n in $(seq "$engines"); do
        start "engine-$n" "$bin/examples/engine" --listen "$net.254:$((20000 + n))"
        vms+="{\"id\":\"engine-$n\",\"role\":\"engine\",\"hall\":\"h$((n % 3))\",\"address\":\"$net.254:$((20000 + n))\",\"serves\":\"m$((n % models))\",\"state\":\"live\"},"
    done
    for n in $(seq "$nodes"); do
        vms+="{\"id\":\"entry-$n\",\"role\":\"entry\",\"hall\":\"h$((n % 3))\",\"address\":\"$net.$((n + 1)):8082\",\"state\":\"live\"},"
    done
    echo "[${vms%,}]" >"$work/vms.json"
    curl -sf -X PUT --data-binary "@$work/vms.json" "http://$net.1:9000/stand-in/vms" >/dev/null
    local key
    key=$("$bin/leadstage" keys new --out "$work/key")
    for n in $(seq "$nodes"); do
        printf 'vm: entry-%s\nhall: h%s\nlisten: %s:8080\nadmin: %s:8081\npeer: %s:8082\nplatform: %s:9000\noperators: ["%s"]\n' \
            "$n" "$((n % 3))" "$net.$((n + 1))" "$net.$((n + 1))" "$net.$((n + 1))" "$net.1" "$key" >"$work/$n.yaml"
        start "entry-$n" "$bin/leadstaged" --config "$work/$n.yaml"
        node_pids+=("$pid")
    done
    roll_out 1
    sleep "$settle_seconds"
    local ticks bytes reads writes before
    ticks=$(control_ticks)
    bytes=$(lo_bytes)
    before=$(calls)
    sleep "$measure_seconds"
    ticks=$(($(control_ticks) - ticks))
    bytes=$(($(lo_bytes) - bytes))
    reads=$(($(calls | field reads) - $(field reads <<<"$before")))
    writes=$(($(calls | field writes) - $(field writes <<<"$before")))
    local rss=0 node
    for node in "${node_pids[@]}"; do
        rss=$((rss + $(awk '$1 == "VmRSS:" { print $2 }' "/proc/$node/status")))
    done
    local accepted last in_force
    accepted=$(date +%s.%N)
    roll_out 2
    for _ in $(seq 100); do
        in_force=$(cat "$work"/entry-*.log | grep -c 'number=2 hash' || true)
        [ "$in_force" = "$nodes" ] && break
        sleep 0.1
    done
    last=$(cat "$work"/entry-*.log | grep 'number=2 hash' | grep -o '^\[[^ ]*' | tr -d '[' | sort | tail -n 1)
    local took
    took=$(awk "BEGIN { printf \"%.2f\", $(date -d "$last" +%s.%N) - $accepted }")
    awk "BEGIN { printf \"%d,%d,%d,%d,%d,%.3f,%.1f,%.2f,%.2f,%.2f,%d,%s\n\", $nodes, $engines, $organisations, $models, $(wc -c <"$work/bundle.yaml"), $ticks / $measure_seconds / $nodes, $rss / $nodes / 1024, $bytes / $measure_seconds / $nodes / 1024, $reads / $measure_seconds, $writes / $measure_seconds, $in_force, \"$took\" }"
    clean_up
}

roll_out() { # NUMBER
    {
        printf 'number: %s\nfleet: scale\norganisations:\n' "$1"
        seq "$organisations" | awk '{ printf "  - {id: org-%d, share: 1, token_hashes: [\"%064x\"]}\n", $1, $1 }'
        printf 'models:\n'
        seq 0 $((models - 1)) | awk '{ printf "  - {id: m%d}\n", $1 }'
    } >"$work/bundle.yaml"
    rm -f "$work/bundle.json"
    "$bin/leadstage" bundle sign "$work/bundle.yaml" --key "$work/key" --operator scale --envelope "$work/bundle.json" >/dev/null
    "$bin/leadstage" bundle roll-out "$work/bundle.json" --platform "$net.1:9000" >/dev/null
}

echo "nodes,engines,organisations,models,bundle_bytes,control_cpu_percent,rss_mb,lo_kb_per_s_per_node,api_reads_per_s,api_writes_per_s,in_force_nodes,in_force_s"
if [ $# -eq 4 ]; then
    size "$@"
    exit
fi
for nodes in 3 9 27 81; do size $nodes 6 10 2; done
for engines in 3 12 24 48; do size 9 $engines 10 4; done
for organisations in 10 100 260 1000; do size 9 6 $organisations 2; done
