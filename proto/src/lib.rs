//! The Cap'n Proto types between leadstage's own processes, generated from
//! `schema/peer.capnp` by `scripts/regenerate.sh` and committed.

#[allow(missing_docs, unsafe_code, clippy::all)]
#[rustfmt::skip]
pub mod peer_capnp;
