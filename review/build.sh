#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. They have no dependency, so no registry is asked.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --quiet --manifest-path review/standins/Cargo.toml --target-dir target/review
