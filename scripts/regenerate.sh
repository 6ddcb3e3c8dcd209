#!/usr/bin/env bash
# Regenerates proto/src/peer_capnp.rs. Requires the capnp program (apt-get install capnproto) and
# capnpc (cargo install capnpc), which are not needed for builds.
set -euo pipefail
cd "$(dirname "$0")/../proto/schema"
capnp compile -o rust:../src peer.capnp
