# Sourced by the scripts that run processes: where the programs are, a network of their
# own in 127.0.0.0/8, and the processes that they started, which end with the script.

pids=()

# Ends all that was started, by process id.
stop_all() {
    local pid
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    pids=()
}

clean_up() {
    stop_all
    rm -rf "${work:-}"
}
trap clean_up EXIT

# Builds all programs with PROFILE (debug or release) and sets bin to their folder.
build() {
    local flags=()
    if [ "$1" = release ]; then flags=(--release); fi
    cargo build --quiet --workspace --bins --examples "${flags[@]}"
    local target=${CARGO_TARGET_DIR:-target}
    case "$target" in /*) ;; *) target=$(pwd)/$target ;; esac
    bin=$target/$1
}

# Sets net to the first three parts of addresses that another run is unlikely to use, and
# work to an empty folder.
own_net() {
    net=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 2))
    work=$(mktemp -d)
}

# start NAME COMMAND...: runs a process with its output in $work/NAME.log; its id is in pid.
start() {
    local name=$1
    shift
    "$@" >"$work/$name.log" 2>&1 &
    pid=$!
    pids+=("$pid")
}
