#!/usr/bin/env bash
# Makes proto/src/peer_capnp.rs anew. Needs the capnp program
# (apt-get install capnproto) and capnpc (cargo install capnpc); builds do not.
set -euo pipefail
cd "$(dirname "$0")/../proto/schema"
capnp compile -o rust:../src peer.capnp
