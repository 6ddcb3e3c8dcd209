//! The replica list that one node serves to another: all replicas, or the changes since a revision.

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

/// An item with the revision at which it became known.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq, Eq)]
pub struct AtRevision<T> {
    /// The revision.
    pub at: Revision,
    /// The item.
    pub item: T,
}

/// The replicas that a node knows, or those that changed.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
pub struct ReplicaList {
    /// The revision up to which the list is complete.
    pub at: Revision,
    /// Replicas that left long ago are forgotten. A node that knows the replicas only up to a revision
    /// before this one needs the whole list, to find out which replicas are gone.
    pub forgotten_up_to: Revision,
    /// Whether replicas that are not in the list are gone.
    pub is_whole: bool,
    /// Replicas that are not leaving.
    pub staying: Vec<AtRevision<ReplicaRecord>>,
    /// Replicas that are known to be leaving.
    pub leaving: Vec<AtRevision<Incarnation>>,
}

/// Zstandard compression level: a list of 10,000 replicas shrinks to a quarter in a few milliseconds.
const COMPRESSION_LEVEL: i32 = 3;
/// Maximum size of an unpacked list, in bytes: a tenth of the memory of the smallest VM, and some hundred bytes for each
/// of 20,000 replicas.
const MAX_UNPACKED_BYTES: usize = 8 << 20;

/// An error while packing or unpacking a list.
#[derive(Debug, Display, Error, From)]
pub enum ListError {
    /// The compressed data is invalid or too large when unpacked.
    #[display("not unpacked: {_0}")]
    Packing(io::Error),
    /// The unpacked data is not a list.
    #[display("unreadable: {_0}")]
    Encoding(postcard::Error),
}

impl ReplicaList {
    /// Packs the list for another node.
    pub fn pack(&self) -> Result<Bytes, ListError> {
        let encoded = postcard::to_allocvec(self)?;
        Ok(zstd::bulk::compress(&encoded, COMPRESSION_LEVEL)?.into())
    }

    /// Unpacks a list that another node sent.
    pub fn unpack(packed: &[u8]) -> Result<ReplicaList, ListError> {
        let encoded = zstd::bulk::decompress(packed, MAX_UNPACKED_BYTES)?;
        Ok(postcard::from_bytes(&encoded)?)
    }
}
