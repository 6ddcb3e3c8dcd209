# Sourced by scripts that run processes. Locates the programs, picks a private network in
# 127.0.0.0/8, and tracks the started processes, which are killed when the script exits.

pids=()

# Kills all started processes by process ID.
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

# build PROFILE: builds all programs with PROFILE (debug or release) and sets `bin` to their
# directory.
build() {
    local flags=()
    if [ "$1" = release ]; then flags=(--release); fi
    cargo build --quiet --workspace --bins --examples "${flags[@]}"
    local target=${CARGO_TARGET_DIR:-target}
    case "$target" in /*) ;; *) target=$(pwd)/$target ;; esac
    bin=$target/$1
}

# Sets `net` to the first three octets of a random loopback network, so that concurrent runs are
# unlikely to collide, and `work` to a new temporary directory.
own_net() {
    net=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 2))
    work=$(mktemp -d)
}

# start NAME COMMAND...: starts a background process, redirects its output to $work/NAME.log, and
# sets `pid` to its process ID.
start() {
    local name=$1
    shift
    "$@" >"$work/$name.log" 2>&1 &
    pid=$!
    pids+=("$pid")
}
