#!/usr/bin/env bash
# Measures the latency that a node adds to the first token and between tokens, compared with direct
# calls to the engine in the same run, and the node's memory and control cost. Loopback only; takes
# about a minute.
#
# Usage: [REMOTE_LEAD=1] scripts/measure-node.sh [RATE] [TOKENS] [SECONDS]
# With REMOTE_LEAD a second node leads the pool, and the traffic between the two nodes is counted.
# Defaults: 100 requests per second directly and 100 through the node, with 200 tokens each at
# 50 ms: 1000 open streams and 20000 tokens per second through the node.
set -euo pipefail
cd "$(dirname "$0")/.."
rate=${1:-200}
tokens=${2:-200}
seconds=${3:-30}

source scripts/common.sh
build release
own_net

start platform "$bin/examples/platform" --listen "$net.1:9000"
start engine "$bin/examples/engine" --listen "$net.21:9100" --step-us 36000 --blocks 1000000 --max-batch 2600
sleep 0.5
peer=
if [ -n "${REMOTE_LEAD:-}" ]; then
    peer="{\"id\":\"entry-2\",\"role\":\"entry\",\"hall\":\"h\",\"address\":\"$net.12:8082\",\"state\":\"live\"},"
fi
cat >"$work/vms.json" <<JSON
[$peer{"id":"entry-1","role":"entry","hall":"h","address":"$net.11:8082","state":"live"},
 {"id":"engine-1","role":"engine","hall":"h","address":"$net.21:9100","serves":"assistant","state":"live"}]
JSON
curl -sf -X PUT --data-binary "@$work/vms.json" "http://$net.1:9000/stand-in/vms" >/dev/null
key=$("$bin/leadstage" keys new --out "$work/key")
hash=$(printf %s load-token | sha256sum | cut -d' ' -f1)
cat >"$work/bundle.yaml" <<YAML
number: 1
fleet: load
organisations: [{id: load, token_hashes: [$hash], max_open: 100000}]
models: [{id: assistant}]
bounds: {max_open_per_node: 100000, max_queue: 2000}
YAML
"$bin/leadstage" bundle sign "$work/bundle.yaml" --key "$work/key" --operator load --envelope "$work/bundle.json" >/dev/null
cat >"$work/node.yaml" <<YAML
vm: entry-1
hall: h
listen: $net.11:8080
admin: $net.11:8081
peer: $net.11:8082
platform: $net.1:9000
operators: ["$key"]
traffic_threads: 2
YAML
if [ -n "$peer" ]; then
    sed "s/entry-1/entry-2/; s/$net\.11:/$net.12:/" "$work/node.yaml" >"$work/peer.yaml"
    start peer env RUST_LOG=info "$bin/leadstaged" --config "$work/peer.yaml"
    peer_pid=$pid
fi
start node env RUST_LOG=warn "$bin/leadstaged" --config "$work/node.yaml"
node_pid=$pid
"$bin/leadstage" bundle roll-out "$work/bundle.json" --platform "$net.1:9000" >/dev/null
for _ in $(seq 100); do curl -sf "http://$net.11:8081/readyz" >/dev/null && break; sleep 0.1; done
sleep 2
# Prints the bytes carried by the peer connections in both directions.
peer_bytes() {
    ss -tni "dst $net.12:8082 or dst $net.11:8082" | grep -o 'bytes_\(sent\|received\):[0-9]*' | awk -F: '{ sum += $2 } END { print sum + 0 }'
}
if [ -n "$peer" ]; then
    grep -q 'leads the pool' "$work/peer.log" || echo "The loaded node leads the pool itself."
    bytes=$(peer_bytes)
fi

"$bin/examples/load" --engine "$net.21:9100" --node "$net.11:8080" --token load-token \
    --rate "$rate" --tokens "$tokens" --seconds "$seconds" --node-pid "$node_pid"
if [ -n "$peer" ]; then
    echo "Between the two nodes: $((($(peer_bytes) - bytes) / 1024)) KB."
    lead=$(awk '{ print ($14 + $15) / 100 }' "/proc/$peer_pid/task/$peer_pid/stat")
    echo "Processor time of the lead for control: $lead s."
fi
control=$(awk '{ print ($14 + $15) / 100 }' "/proc/$node_pid/task/$node_pid/stat")
cpu=$(awk '{ print ($14 + $15) / 100 }' "/proc/$node_pid/stat")
echo "Processor time of the node: $cpu s in all, $control s of it for control."
