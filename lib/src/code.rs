//! Numbered result codes: whether a request ran, and whether the caller should retry it.

use derive_more::Display;

/// Whether a request ran, as far as leadstage can determine.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Ran {
    /// The request did not run and will not run.
    #[display("not run")]
    No,
    /// The request ran, completely or in part.
    #[display("ran")]
    Yes,
    /// The request may have run.
    #[display("unknown")]
    Unknown,
}

/// Whether a caller should retry a request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RetryAdvice {
    /// No: the same request would get the same response.
    #[display("no")]
    No,
    /// Yes, after the delay in `Retry-After`.
    #[display("after `Retry-After`")]
    Later,
    /// Yes, with the same `Idempotency-Key` to get the outcome; the request does not run twice.
    #[display("with the same key, for the outcome")]
    SameKey,
    /// Only if the caller accepts that the request may run twice.
    #[display("only if running twice does no harm")]
    IfRepeatable,
}

macro_rules! codes {
    ($($(#[doc = $doc:literal])+ $name:ident = $number:literal, $status:literal, $ran:ident, $advice:ident;)+) => {
        /// A result code. Numbers are stable; docs/CODES.md lists all codes.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Code { $($(#[doc = $doc])+ $name,)+ }

        impl Code {
            /// All codes in the order of their numbers.
            pub const ALL: &[Code] = &[$(Code::$name),+];

            /// Returns the stable number.
            pub const fn number(self) -> u16 {
                match self { $(Code::$name => $number,)+ }
            }

            /// Returns the HTTP status that the code is sent with.
            pub const fn http_status(self) -> u16 {
                match self { $(Code::$name => $status,)+ }
            }

            /// Whether the request ran.
            pub const fn ran(self) -> Ran {
                match self { $(Code::$name => Ran::$ran,)+ }
            }

            /// Whether the caller should retry the request.
            pub const fn retry_advice(self) -> RetryAdvice {
                match self { $(Code::$name => RetryAdvice::$advice,)+ }
            }

            /// Returns the name of the variant, as sent in the `type` of an error.
            pub const fn name(self) -> &'static str {
                match self { $(Code::$name => stringify!($name),)+ }
            }

            /// Returns the meaning in a sentence; the default `message` of an error.
            pub fn meaning(self) -> &'static str {
                match self { $(Code::$name => concat!($($doc),+).trim(),)+ }
            }
        }
    };
}

codes! {
    /// The request was carried out.
    Done = 1000, 200, Yes, No;
    /// The body is not valid JSON of the expected shape.
    BadRequest = 2001, 400, No, No;
    /// The bearer token is missing or belongs to no organisation.
    Unauthorised = 2002, 401, No, No;
    /// The model is not in the bundle.
    UnknownModel = 2003, 404, No, No;
    /// No route of the bundle has this path.
    NoRoute = 2004, 404, No, No;
    /// The body is larger than the bundle allows.
    BodyTooLarge = 2005, 413, No, No;
    /// The prompt is longer than the model's bound.
    PromptTooLong = 2006, 400, No, No;
    /// The body did not arrive within the bundle's bound.
    SlowBody = 2007, 408, No, No;
    /// A header that leadstage reads is malformed.
    BadHeader = 2008, 400, No, No;
    /// The `Idempotency-Key` was used before with another request.
    KeyReused = 2009, 422, No, No;
    /// The method is not allowed on this path.
    BadMethod = 2010, 405, No, No;
    /// The pool's wait queue is full.
    QueueFull = 2101, 429, No, Later;
    /// The request could not start within its bounded wait.
    WaitTooLong = 2102, 429, No, Later;
    /// The organisation has as many requests open as the bundle allows.
    OrganisationLimit = 2103, 429, No, Later;
    /// No live upstream serves this now.
    NoUpstream = 2104, 503, No, Later;
    /// The object API cannot be reached, so the key cannot be claimed.
    PlatformDown = 2105, 503, No, Later;
    /// The key's claim shard holds as many keys as fit.
    ClaimShardFull = 2106, 503, No, Later;
    /// The node has no bundle yet, or cannot know whether its bundle is the newest.
    NotReady = 2107, 503, No, Later;
    /// The node is stopping.
    Stopping = 2108, 503, No, Later;
    /// The upstream could not be connected to, or said that it did not run the request.
    UpstreamRefused = 2109, 503, No, Later;
    /// The node has as many requests open as the bundle allows.
    NodeLimit = 2110, 429, No, Later;
    /// Upstreams ended each time that they ran this request, so it is sent to none.
    Quarantined = 2111, 503, No, Later;
    /// The node holds as much for its callers and upstreams as its memory bears.
    MemoryFull = 2112, 503, No, Later;
    /// Upstreams ended each time that they ran a request with a part of this prompt, so requests with it are sent
    /// to none.
    PartQuarantined = 2113, 503, No, Later;
    /// The upstream was lost after the request was sent to it.
    UpstreamLost = 3001, 502, Unknown, IfRepeatable;
    /// Another arrival of the key was dispatched and its outcome is not recorded yet.
    KeyInProgress = 3002, 409, Unknown, SameKey;
    /// The node that had claimed the key is gone and recorded no outcome.
    ClaimantLost = 3003, 409, Unknown, No;
    /// The upstream did not answer within the bundle's bound.
    UpstreamTimeout = 3004, 504, Unknown, IfRepeatable;
    /// The node reached the bound of its planned stop before the upstream had answered.
    StopUnanswered = 3005, 504, Unknown, IfRepeatable;
    /// The engine was lost after tokens had reached the caller.
    StreamLost = 4001, 502, Yes, IfRepeatable;
    /// The generation that the caller wants to go on with is no longer known.
    GenerationUnknown = 4002, 410, Yes, IfRepeatable;
    /// The generation belongs to another organisation.
    NotYourGeneration = 4003, 403, No, No;
    /// The node reached the bound of its planned stop with the stream still open.
    StopBound = 4004, 503, Yes, Later;
}

impl Code {
    /// Returns the code with this number, if it exists.
    pub fn from_number(number: u16) -> Option<Code> {
        Code::ALL.iter().copied().find(|code| code.number() == number)
    }
}

impl std::fmt::Display for Code {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} {}", self.number(), self.name())
    }
}

/// Returns the Markdown table of docs/CODES.md.
pub fn markdown_table() -> String {
    let mut out =
        String::from("| number | name | HTTP | ran | ask again | meaning |\n|---|---|---|---|---|---|\n");
    for code in Code::ALL {
        out.push_str(&format!(
            "| {} | {} | {} | {} | {} | {} |\n",
            code.number(),
            code.name(),
            code.http_status(),
            code.ran(),
            code.retry_advice(),
            code.meaning(),
        ));
    }
    out
}
