//! The closed list of error kinds with the answer to the client for each.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Whether an upstream ran the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// No upstream received any of it, or the upstream replied that it did not run it.
    #[display("no")]
    No,
    /// An upstream ran it.
    #[display("yes")]
    Yes,
    /// Unknown; the request is not run again.
    #[display("unknown")]
    Unknown,
}

macro_rules! kinds {
    ($($(#[$doc:meta])* $name:ident = $word:literal, $status:literal, $ran:ident, $hint:literal;)*) => {
        /// Why a request got no answer from an upstream.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum Kind {
            $($(#[$doc])* $name,)*
        }

        impl Kind {
            /// Every kind, in the order of the table.
            pub const ALL: &[Kind] = &[$(Kind::$name,)*];

            /// The kind's name in bodies, metrics and logs.
            pub const fn word(self) -> &'static str {
                match self { $(Kind::$name => $word,)* }
            }

            /// The HTTP status.
            pub const fn status(self) -> u16 {
                match self { $(Kind::$name => $status,)* }
            }

            /// Whether an upstream ran the request.
            pub const fn ran(self) -> Ran {
                match self { $(Kind::$name => Ran::$ran,)* }
            }

            /// What the client can do.
            pub const fn hint(self) -> &'static str {
                match self { $(Kind::$name => $hint,)* }
            }
        }
    };
}

kinds! {
    /// The request has no valid customer token.
    NoToken = "no_token", 401, No, "send 'authorization: Bearer TOKEN' with the token of your party";
    /// The customer may not use the class.
    NoClass = "no_class", 403, No, "use a class that the configuration grants to your party";
    /// A header is missing or cannot be read.
    BadRequest = "bad_request", 400, No, "correct the header that the detail names";
    /// The body is larger than the limit.
    TooLarge = "too_large", 413, No, "send a smaller body";
    /// The client sent its request too slowly.
    SlowCaller = "slow_caller", 408, No, "send the whole request within the limit";
    /// No service of that name is configured.
    NoService = "no_service", 404, No, "use the name of a configured service";
    /// The customer is above its rate limit.
    OverLimit = "over_limit", 429, No, "come back after the time in retry-after";
    /// All slots are busy and classes with a higher price go first.
    Overload = "overload", 503, No, "come back after the time in retry-after";
    /// The request can't finish within its deadline.
    NoTime = "no_time", 503, No, "come back later or allow more time";
    /// The host is stopping or has no configuration or lease yet.
    NotReady = "not_ready", 503, No, "repeat it at another host";
    /// The coordinator of the key is unreachable; an earlier request with the key may have run.
    #[serde(rename = "no_keeper")]
    NoCoordinator = "no_keeper", 503, Unknown, "this sending was not run; come back with the same key";
    /// The key is not a recent version 7 UUID.
    BadKey = "bad_key", 400, No, "send a fresh version 7 UUID as 'idempotency-key'";
    /// A request with the same key is running.
    Running = "running", 409, Unknown, "the first one goes on; ask again with the same key for its end";
    /// The key was used for another request.
    KeyReused = "key_reused", 422, No, "use one key for one request";
    /// The request with the key has ended, but its answer is no longer stored.
    NotKept = "not_kept", 409, Yes, "the request ran; look up its effect in the service";
    /// Every upstream refused the request or was unreachable.
    NoUpstream = "no_upstream", 503, No, "come back after the time in retry-after";
    /// The upstream failed after it had received the request.
    Unknown = "outcome_unknown", 502, Unknown, "it is not run again; look up its effect before you send a new one";
    /// The deadline passed after an upstream had received the request.
    Late = "deadline_passed", 504, Unknown, "it is not run again; look up its effect before you send a new one";
}

impl std::fmt::Display for Kind {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.word())
    }
}
