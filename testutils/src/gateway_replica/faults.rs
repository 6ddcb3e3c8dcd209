//! The faults of a stand-in replica.

use std::time::Duration;

use crate::gateway_replica::ending::Framing;
use crate::gateway_replica::ending::StreamEnding;

/// How a replica handles requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReplicaFault {
    /// Executes the request and responds with success.
    #[default]
    None,
    /// Responds that the request was not executed.
    NotExecuted,
    /// Executes the request and responds with status 500.
    Fails,
    /// Executes the request and never responds.
    Hangs,
    /// Executes the request and closes the connection.
    Breaks,
    /// Responds with the id of another request.
    WrongRequestId,
    /// Closes the connection in the middle of the response body.
    TruncatesBody,
    /// Closes a connection when its second request arrives, as if the replica had forgotten the connection.
    ClosesReusedConnections,
    /// Responds after this time.
    Late(Duration),
    /// Responds with a body of this many bytes.
    Long(usize),
    /// Sends the body without a length or chunks.
    Unframed,
    /// Sends the head of such a response and no body.
    UnframedEmpty,
    /// Sends a part of such a body and crashes.
    UnframedCrash,
    /// Executes the request and sends informational heads without end.
    EndlessHeads,
}

/// How an engine handles calls to copy a generation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CopyFault {
    /// Makes the copy.
    #[default]
    None,
    /// Responds that there is no room.
    NoRoom,
    /// Responds after this time that there is no room.
    NoRoomLate(Duration),
    /// Never responds to a call that leaves the generation running.
    CopyHangs,
    /// Stops the generation and never responds to that call, as if the answer were lost. A repeated call is
    /// answered.
    StopHangs,
    /// Accepts no more connections after the first copy; open connections stay open.
    ClosesPort,
    /// Accepts no more connections after it has stopped a generation.
    StopClosesPort,
    /// Stops the generation and responds after this time.
    StopLate(Duration),
    /// Stops the generation only after this time, also if the caller has disconnected by then, as if the call
    /// were late on its way.
    StopArrivesLate(Duration),
    /// Fails requests to resume from a copy with status 500; the copy is kept.
    ResumeFails,
}

/// How an engine handles a request for a stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StreamFault {
    /// Streams the whole generation.
    #[default]
    None,
    /// Closes the connection instead of responding.
    NoHead,
    /// Never responds.
    Hangs,
    /// Responds after this time, which is longer than callers should wait.
    Late(Duration),
    /// Responds with status 500.
    Fails,
    /// Responds that the request was not executed.
    NotExecuted,
    /// Closes the connection after this many events.
    BreaksAfter(u64),
    /// Closes the connection in the middle of the event that follows this many.
    BreaksInside(u64),
    /// Sends nothing more after this many events and keeps the connection open.
    StallsAfter(u64),
    /// Starts at the first event, ignoring `Last-Event-ID`.
    StartsOver,
    /// Sends the body without a length or chunks, so that it ends when the connection closes.
    Unframed,
    /// Ends the response in order, whether its body is whole or not.
    Ends(StreamEnding),
    /// Responds with a JSON document of this framing.
    Json(Framing),
    /// Sends informational heads without end.
    EndlessHeads,
}

/// A fault that applies to a part of a replica's requests.
#[derive(Clone, Debug)]
pub struct PartialFault {
    /// The fault to apply.
    pub fault: ReplicaFault,
    /// Applies the fault to one in this many requests with the path prefix.
    pub every_nth: usize,
    /// Prefix of the paths that the fault applies to.
    pub prefix: String,
}
