//! The numbered result codes of the caller interface.
//!
//! The doc comment of each code is its meaning as sent to callers. `docs/result-codes.md` holds the
//! same table, and a test compares the two.

use serde::Serialize;

/// The guarantee that a final answer gives about which work was done.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum Class {
    /// The answer is complete and is given once.
    Answered,
    /// No part of this submission reached an upstream.
    NotRun,
    /// Stages ran, none with a side effect.
    Failed,
    /// Stages ran, none with a side effect, and the window ended before the answer was complete.
    Late,
    /// A side effect may have happened. The key is never run again.
    Unknown,
}

impl Class {
    /// Returns the name that callers see.
    pub fn name(self) -> &'static str {
        match self {
            Self::Answered => "ANSWERED",
            Self::NotRun => "NOT_RUN",
            Self::Failed => "FAILED",
            Self::Late => "LATE",
            Self::Unknown => "UNKNOWN",
        }
    }
}

macro_rules! result_codes {
    ($($(#[doc = $doc:literal])+ $name:ident = $number:literal, $class:ident, $status:literal;)+) => {
        /// A numbered result code. A number is never changed or reused.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum ResultCode {
            $($(#[doc = $doc])+ $name,)+
        }

        impl ResultCode {
            /// All codes, in ascending order of their numbers.
            pub const ALL: &'static [Self] = &[$(Self::$name,)+];

            /// Returns the number.
            pub fn number(self) -> u16 {
                match self { $(Self::$name => $number,)+ }
            }

            /// Returns the class, which states what the code guarantees.
            pub fn class(self) -> Class {
                match self { $(Self::$name => Class::$class,)+ }
            }

            /// Returns the HTTP status that is sent with the code.
            pub fn http_status(self) -> u16 {
                match self { $(Self::$name => $status,)+ }
            }

            /// Returns the name, which is that of the variant.
            pub fn name(self) -> &'static str {
                match self { $(Self::$name => stringify!($name),)+ }
            }

            /// Returns the meaning, which is the text of the variant's doc comment.
            pub fn meaning(self) -> &'static str {
                match self { $(Self::$name => concat!($($doc),+).trim_ascii(),)+ }
            }

            /// Returns the code with the given number.
            pub fn from_number(number: u16) -> Option<Self> {
                Self::ALL.iter().copied().find(|code| code.number() == number)
            }
        }
    };
}

result_codes! {
    /// Answered once, complete, within the window.
    Ok = 1000, Answered, 200;

    /// The body is not the JSON object that the interface takes.
    BadBody = 2000, NotRun, 400;
    /// The body is larger than the node's limit.
    BodyTooLarge = 2001, NotRun, 413;
    /// No pipeline of this name is in force.
    UnknownPipeline = 2002, NotRun, 404;
    /// No workspace of this name is in force, or it may not use this pipeline.
    UnknownWorkspace = 2003, NotRun, 403;
    /// The key is neither a UUIDv7 nor a ticket.
    BadKey = 2004, NotRun, 400;
    /// The pipeline has a stage with a side effect, or the request is marked non-idempotent, and no key was sent.
    KeyRequired = 2005, NotRun, 400;
    /// The window is 0 or above the pipeline's maximum.
    BadWindow = 2006, NotRun, 400;
    /// The key is from the future by more than the allowed clock skew.
    KeyFromFuture = 2007, NotRun, 400;
    /// No request of this key is known here.
    UnknownKey = 2008, Unknown, 404;
    /// The path, method or header is not one that the interface has.
    BadRequest = 2009, NotRun, 400;
    /// The key was used before for another request: the pipeline or the input differs.
    KeyMismatch = 2010, NotRun, 409;
    /// No workspace holds this key.
    UnknownKeyHolder = 2011, NotRun, 401;
    /// The body did not come in time.
    BodyTooSlow = 2012, NotRun, 408;

    /// The node is shutting down or not ready; another one takes the request.
    NotReady = 3000, NotRun, 503;
    /// The queue of the stage is full.
    QueueFull = 3001, NotRun, 503;
    /// The predicted finish lies outside the window.
    WouldBeLate = 3002, NotRun, 503;
    /// The workspace is over its limit.
    OverLimit = 3003, NotRun, 429;
    /// No upstream of a stage is available.
    NoUpstream = 3004, NotRun, 503;
    /// The claim could not be settled on the log in time; the same key may be sent again.
    ClaimUnsettled = 3005, NotRun, 503;
    /// The key was claimed but never run, and never will be; send the request under a new key.
    KeySpent = 3006, NotRun, 409;
    /// The node's view of the claim stream does not reach back to the key's minting time.
    ClaimViewTooShort = 3007, NotRun, 503;
    /// The window ended while the request waited, before anything ran.
    ExpiredInQueue = 3008, NotRun, 503;
    /// The node holds as many requests as its settings allow.
    NodeFull = 3009, NotRun, 503;
    /// Upstreams ended under this request, whatever id it came under; it is not sent to another.
    EndsUpstreams = 3010, NotRun, 429;
    /// All failure domains with upstreams of a stage are evacuated.
    Evacuated = 3011, NotRun, 503;
    /// All upstreams of a stage have said how much they take, and that is used up, or requested a
    /// pause.
    Limited = 3012, NotRun, 503;
    /// No upstream of a stage lies in a region where the request may be served.
    OutsideRegions = 3013, NotRun, 503;
    /// The stream can't go on: the version that began it isn't known, or no upstream has it.
    OriginUnavailable = 3014, NotRun, 503;

    /// A stage failed and no retry was possible within the window or the retry budget.
    StageFailed = 4000, Failed, 502;
    /// The answer ended early after a part of it was already delivered.
    AnswerTruncated = 4001, Failed, 502;

    /// The key was used up by a request that ended without its side effect; use a new key.
    KeyEnded = 4002, Failed, 409;
    /// Stages without side effect ran, but the claim could not be settled on the log in time; the same key may be sent again.
    ClaimUnsettledRan = 4003, Failed, 504;

    /// The window ended before the answer was complete.
    WindowEnded = 5000, Late, 504;

    /// A stage with a side effect was sent and its outcome is not known.
    EffectUnknown = 6000, Unknown, 504;
    /// A stage with a side effect ran, but the answer could not be completed.
    EffectDoneAnswerLost = 6001, Unknown, 502;
    /// The node that owns this key can't be reached; the key is never run elsewhere.
    OwnerUnreachable = 6002, Unknown, 503;
    /// The request of this key is still running; ask again for its outcome.
    StillRunning = 6003, Unknown, 504;
    /// The key is too old for its history to be known.
    KeyExpired = 6004, Unknown, 410;
    /// The answer was complete, but is no longer kept; it is not run again.
    AnswerNotKept = 6005, Unknown, 410;
}

/// The recommended next step for a caller whose request was not answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Advice {
    /// Send the request again under the same key; it can't run twice.
    SameKey,
    /// Send the request again under a new key; the old key will never run.
    NewKey,
    /// Query the outcome of the key; don't send the request again under another key.
    AskOutcome,
    /// Correct the request before it is sent again.
    Correct,
}

impl ResultCode {
    /// Returns the recommended next step, or `None` if the request was answered.
    pub fn advice(self) -> Option<Advice> {
        match self {
            Self::Ok => None,
            Self::BadBody
            | Self::BodyTooLarge
            | Self::UnknownPipeline
            | Self::UnknownWorkspace
            | Self::BadKey
            | Self::KeyRequired
            | Self::BadWindow
            | Self::BadRequest
            | Self::KeyMismatch
            | Self::UnknownKeyHolder
            | Self::EndsUpstreams => Some(Advice::Correct),
            Self::KeySpent | Self::KeyEnded => Some(Advice::NewKey),
            Self::StageFailed | Self::AnswerTruncated | Self::WindowEnded => Some(Advice::NewKey),
            Self::UnknownKey | Self::ClaimUnsettledRan => Some(Advice::SameKey),
            code if code.class() == Class::NotRun => Some(Advice::SameKey),
            _ => Some(Advice::AskOutcome),
        }
    }
}
