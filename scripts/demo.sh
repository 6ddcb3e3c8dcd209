#!/usr/bin/env bash
# End-to-end demonstration on one machine: builds, starts the stand-ins and two nodes as separate
# processes on loopback, rolls out a bundle, streams through each node, makes a non-repeatable plain
# call, shows the status, and stops everything. Exits with 0 only if every step succeeded.
set -euo pipefail
cd "$(dirname "$0")/.."

source scripts/common.sh
build debug
own_net

fail() {
    echo "demo: $1" >&2
    tail -n 20 "$work"/*.log >&2 || true
    exit 1
}

until_true() { # CONDITION COMMAND...
    local condition=$1
    shift
    for _ in $(seq 150); do
        if "$@" >/dev/null 2>&1; then return 0; fi
        sleep 0.1
    done
    fail "timed out waiting for: $condition"
}

step() { echo "== $1"; }

platform=$net.1:9000
step "stand-ins: platform, two engines, one plain service"
start platform "$bin/examples/platform" --listen "$platform"
for n in 1 2; do
    start "engine-$n" "$bin/examples/engine" --listen "$net.2$n:9100" --step-us 5000 --seed "$n"
done
start booking "$bin/examples/plain" --listen "$net.31:9200"
until_true "the platform" curl -sf "http://$platform/v1/vms"
cat >"$work/vms.json" <<JSON
[{"id":"entry-1","role":"entry","hall":"lj-a","address":"$net.11:8082","state":"live"},
 {"id":"entry-2","role":"entry","hall":"lj-a","address":"$net.12:8082","state":"live"},
 {"id":"engine-1","role":"engine","hall":"lj-a","address":"$net.21:9100","serves":"assistant","state":"live"},
 {"id":"engine-2","role":"engine","hall":"lj-a","address":"$net.22:9100","serves":"assistant","state":"live"},
 {"id":"booking-1","role":"service","hall":"lj-a","address":"$net.31:9200","serves":"booking","state":"live"}]
JSON
curl -sf -X PUT --data-binary "@$work/vms.json" "http://$platform/stand-in/vms" >/dev/null

step "operators' keys, and a bundle with two sign-offs"
key_1=$("$bin/leadstage" keys new --out "$work/operator-1.key")
key_2=$("$bin/leadstage" keys new --out "$work/operator-2.key")
hash=$(printf %s demo-token | sha256sum | cut -d' ' -f1)
sed "s/2b9b5f2ca0a8b0f1a1e5a8a3b1c0f8f1d6f6a1c2e3d4b5a69788f0e1d2c3b4a5/$hash/" examples/najem.yaml >"$work/bundle.yaml"
"$bin/leadstage" bundle check "$work/bundle.yaml"
for n in 1 2; do
    "$bin/leadstage" bundle sign "$work/bundle.yaml" --key "$work/operator-$n.key" \
        --operator "operator-$n" --envelope "$work/bundle.json"
done

step "two nodes"
for n in 1 2; do
    cat >"$work/entry-$n.yaml" <<YAML
vm: entry-$n
hall: lj-a
listen: $net.1$n:8080
admin: $net.1$n:8081
peer: $net.1$n:8082
platform: $platform
operators: ["$key_1", "$key_2"]
sign_offs: 2
traffic_threads: 2
YAML
    "$bin/leadstaged" --config "$work/entry-$n.yaml" --check-config >/dev/null
    start "entry-$n" "$bin/leadstaged" --config "$work/entry-$n.yaml"
done

step "roll-out"
"$bin/leadstage" bundle roll-out "$work/bundle.json" --platform "$platform"
for n in 1 2; do
    until_true "entry-$n ready" curl -sf "http://$net.1$n:8081/readyz"
done
lead_is_up() { "$bin/leadstage" status --node "$net.11:8081" --node "$net.12:8081" | grep -q 'engine-2.*up'; }
until_true "a lead with both engines" lead_is_up

step "one streamed chat answer through each node"
for n in 1 2; do
    curl -sfN "http://$net.1$n:8080/v1/chat/completions" -H "authorization: Bearer demo-token" \
        -d '{"model":"assistant","stream":true,"max_tokens":12,"stand_in_tokens":12,"messages":[{"role":"user","content":"Is the van free on Friday?"}]}' \
        -D "$work/head-$n" >"$work/stream-$n" || fail "the stream through entry-$n"
    tokens=$(grep -c '"finish_reason":null' "$work/stream-$n")
    [ "$tokens" = 12 ] || fail "entry-$n delivered $tokens tokens instead of 12"
    grep -q '^data: \[DONE\]' "$work/stream-$n" || fail "the stream through entry-$n has no end"
    echo "entry-$n: 12 tokens, last id $(grep '^id: ' "$work/stream-$n" | tail -n 1)"
    id=$(grep -i '^x-request-id:' "$work/head-$n" | tr -d '\r' | cut -d' ' -f2)
    "$bin/leadstage" explain "$id" --node "$net.1$n:8081"
done
cat "$work"/entry-*.log | grep -q 'leads the pool' || fail "no node leads the pool"
leads=$(grep -l 'leads the pool' "$work"/entry-*.log | wc -l)
placers=$(for n in 1 2; do
    id=$(grep -i '^x-request-id:' "$work/head-$n" | tr -d '\r' | cut -d' ' -f2)
    "$bin/leadstage" explain "$id" --node "$net.1$n:8081" | grep -o 'by lead [a-z0-9-]*'
done | sort -u | wc -l)
[ "$placers" = 1 ] || fail "the two streams were placed by $placers leads ($leads led)"

step "one plain call that may not repeat, sent twice with one key"
for try in 1 2; do
    curl -sf -X POST "http://$net.1$try:8080/booking/book" -H "authorization: Bearer demo-token" \
        -H "idempotency-key: trip-1" -d '{"car":"van"}' || fail "the booking, try $try"
    echo
done
ran=$(curl -sf "http://$net.31:9200/stand-in/ran")
[ "$ran" = '{"trip-1":1}' ] || fail "bookings that ran: $ran"

step "status and burn"
"$bin/leadstage" status --node "$net.11:8081" --node "$net.12:8081"
"$bin/leadstage" report burn --node "$net.11:8081" --node "$net.12:8081" --plot "$work/burn.svg"
grep -q "</svg>" "$work/burn.svg" || fail "the plot of the burn"

step "planned stop of both nodes"
for at in "${!pids[@]}"; do
    if [ "$at" -ge 4 ]; then kill -TERM "${pids[$at]}"; fi
done
for at in "${!pids[@]}"; do
    if [ "$at" -ge 4 ]; then wait "${pids[$at]}" || fail "a node did not stop as planned"; fi
done
echo "demo: every step was right"
