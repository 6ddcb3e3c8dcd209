//! The replicas as one node hands them to another: all of them, or what changed since.

use std::io;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use serde::Deserialize;
use serde::Serialize;

use crate::gateway::replica_record::Incarnation;
use crate::gateway::replica_record::ReplicaRecord;
use crate::gateway::revision::Revision;

/// Something, with the revision at which it was learnt.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq, Eq)]
pub struct AtRevision<T> {
    /// The revision.
    pub at: Revision,
    /// What was learnt.
    pub item: T,
}

/// The replicas that a node knows, or those that changed.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
pub struct ReplicaList {
    /// The revision up to which the list holds.
    pub at: Revision,
    /// Replicas that left long ago are forgotten; who knew the replicas only up to a revision
    /// before this one needs the whole list, to see who is missing.
    pub forgotten_up_to: Revision,
    /// Whether replicas that are not named are gone.
    pub is_whole: bool,
    /// Replicas that stay.
    pub staying: Vec<AtRevision<ReplicaRecord>>,
    /// Replicas that are known to leave.
    pub leaving: Vec<AtRevision<Incarnation>>,
}

/// Zstandard's level: a list of 10,000 replicas shrinks to a quarter in some milliseconds.
const COMPRESSION_LEVEL: i32 = 3;
/// Bytes of a list at most, once it is unpacked.
const MAX_UNPACKED_BYTES: usize = 64 << 20;

/// A list can't be packed or unpacked.
#[derive(Debug, Display, Error, From)]
pub enum ListError {
    /// It is not compressed as it should be, or too large.
    #[display("not unpacked: {_0}")]
    Packing(io::Error),
    /// What is in it is no list.
    #[display("unreadable: {_0}")]
    Encoding(postcard::Error),
}

impl ReplicaList {
    /// Packs it to be handed to another node.
    pub fn pack(&self) -> Result<Bytes, ListError> {
        let encoded = postcard::to_allocvec(self)?;
        Ok(zstd::bulk::compress(&encoded, COMPRESSION_LEVEL)?.into())
    }

    /// Unpacks what another node handed over.
    pub fn unpack(packed: &[u8]) -> Result<ReplicaList, ListError> {
        let encoded = zstd::bulk::decompress(packed, MAX_UNPACKED_BYTES)?;
        Ok(postcard::from_bytes(&encoded)?)
    }
}
