#!/usr/bin/env bash
# The formatter's check, clippy with warnings as errors, the check that io_uring
# stays off, and all tests. Needs nothing outside the repository but the registry.
set -euo pipefail
cd "$(dirname "$0")/.."

echo "== formatter"
cargo fmt --all --check

echo "== clippy"
cargo clippy --quiet --workspace --all-targets -- -D warnings

echo "== io_uring features stay off"
features=$(cargo tree --workspace -e features --prefix none | grep -E 'feature "(io-uring|runtime-uring)"' || true)
if [ -n "$features" ]; then
    echo "an io_uring feature is on: $features" >&2
    exit 1
fi

echo "== tests"
# Tests that are known to fail for a real fault: one a line, its name first.
skips=()
if [ -f KNOWN-RED.txt ]; then
    while IFS='|' read -r name cause; do
        name=${name// /}
        [ -n "$name" ] || continue
        echo "known red, passed over: $name |$cause"
        skips+=(--skip "$name")
    done <KNOWN-RED.txt
fi
cargo test --workspace --quiet -- "${skips[@]}"
