#!/usr/bin/env bash
# Measures the cost of failures in a fleet of 9 nodes and 15 engines in three halls: the work lost,
# and how long requests fail. Load goes through the six nodes that lead no pool; faults are injected
# 5 s into the load. Loopback only; takes about two minutes.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/common.sh
build release

fleet() {
    own_net
    start platform "$bin/examples/platform" --listen "$net.1:9000"
    engines=()
    nodes=()
    sleep 0.5
    local vms="" n
    for n in $(seq 15); do
        start "engine-$n" "$bin/examples/engine" --listen "$net.$((100 + n)):9100" --step-us 25000 --seed "$n"
        engines+=("$pid")
        vms+="{\"id\":\"engine-$n\",\"role\":\"engine\",\"hall\":\"h$((n % 3))\",\"address\":\"$net.$((100 + n)):9100\",\"serves\":\"assistant\",\"state\":\"live\"},"
    done
    for n in $(seq 9); do
        vms+="{\"id\":\"entry-$n\",\"role\":\"entry\",\"hall\":\"h$((n % 3))\",\"address\":\"$net.$((n + 10)):8082\",\"state\":\"live\"},"
    done
    echo "[${vms%,}]" >"$work/vms.json"
    curl -sf -X PUT --data-binary "@$work/vms.json" "http://$net.1:9000/stand-in/vms" >/dev/null
    local key hash
    key=$("$bin/leadstage" keys new --out "$work/key")
    hash=$(printf %s load-token | sha256sum | cut -d' ' -f1)
    printf 'number: 1\nfleet: recovery\norganisations: [{id: load, token_hashes: ["%s"], max_open: 10000}]\nmodels: [{id: assistant}]\n' "$hash" >"$work/bundle.yaml"
    "$bin/leadstage" bundle sign "$work/bundle.yaml" --key "$work/key" --operator r --envelope "$work/bundle.json" >/dev/null
    for n in $(seq 9); do
        printf 'vm: entry-%s\nhall: h%s\nlisten: %s:8080\nadmin: %s:8081\npeer: %s:8082\nplatform: %s:9000\noperators: ["%s"]\n' \
            "$n" "$((n % 3))" "$net.$((n + 10))" "$net.$((n + 10))" "$net.$((n + 10))" "$net.1" "$key" >"$work/$n.yaml"
        start "entry-$n" "$bin/leadstaged" --config "$work/$n.yaml"
        nodes+=("$pid")
    done
    "$bin/leadstage" bundle roll-out "$work/bundle.json" --platform "$net.1:9000" >/dev/null
    sleep 5
}

# Prints the 0-based indexes of the nodes that currently lead a pool.
leads() {
    local n
    for n in $(seq 9); do
        if curl -sf "http://$net.$((n + 10)):8081/status" | grep -q '"model":"assistant"'; then echo $((n - 1)); fi
    done
}

fault() {
    case $1 in
        engines) kill -KILL "${engines[0]}" "${engines[1]}" "${engines[2]}" ;;
        frozen) kill -STOP "${engines[3]}" "${engines[4]}" ;;
        leads) for n in "${lead_nodes[@]}"; do kill -KILL "${nodes[$n]}"; done ;;
        platform)
            curl -sf -X POST "http://$net.1:9000/fault/down" >/dev/null
            (sleep 6; curl -sf -X POST "http://$net.1:9000/fault/up" >/dev/null) &
            ;;
    esac
}

measure() { # NAME FAULTS...
    local name=$1
    shift
    fleet
    # Load goes through nodes that lead no pool, so that all leads can be killed.
    mapfile -t lead_nodes < <(leads)
    local args=() n
    for n in 0 1 2 3 4 5 6 7 8; do
        case " ${lead_nodes[*]} " in *" $n "*) ;; *) args+=(--node "$net.$((n + 11)):8080") ;; esac
    done
    echo "## $name: ${#lead_nodes[@]} nodes lead, load through the other $((9 - ${#lead_nodes[@]}))"
    "$bin/examples/load" "${args[@]}" --token load-token --rate 40 --tokens 80 --seconds 20 &
    local load=$!
    sleep 5
    for kind in "$@"; do fault "$kind"; done
    wait "$load"
    clean_up
}

measure "no fault"
measure "3 of 15 engines die" engines
measure "2 of 15 engines freeze" frozen
measure "all leads die" leads
measure "object API down for 6 s" platform
measure "engines and leads die, object API down, at once" engines leads platform
