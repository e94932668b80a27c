//! Messages between daemons, and their encoding.
//!
//! The encoding is by position: the order and the types of fields and variants are part of
//! the protocol, their names are not. Some of the types are also written as JSON, such as in
//! the state of a daemon; there the names are part of the interface.

use bincode::config::{Configuration, LittleEndian, Varint};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::base::call_status::{CallStatus, ClaimRow};
use crate::base::clock::MicroTime;
use crate::base::consts::MAX_HEAD;
use crate::base::digest::RequestDigest;
use crate::base::ids::{
    AccountName, CallId, CentreName, DaemonIncarnation, ServiceName, TargetName,
};
use crate::base::load_report::{LoadReport, StatedRate};
use crate::base::suspect::SuspectRecord;

/// Error while encoding or decoding a message.
#[derive(Debug, Snafu)]
pub enum WireError {
    /// The bytes are not a message of the expected kind.
    #[snafu(display("malformed message: {reason}"))]
    Malformed {
        /// Description of the error.
        reason: String,
    },
    /// The message is longer than its limit.
    #[snafu(display("message of {length} bytes is over the limit of {limit}"))]
    TooLong {
        /// Length of the message, in bytes.
        length: usize,
        /// Maximum length, in bytes.
        limit: usize,
    },
}

type WireFormat = Configuration<LittleEndian, Varint, bincode::config::Limit<MAX_HEAD>>;

const FORMAT: WireFormat = bincode::config::standard().with_limit::<MAX_HEAD>();

/// Encodes a message.
///
/// # Errors
///
/// Returns an error if the message is over [`MAX_HEAD`].
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, WireError> {
    let bytes = bincode::serde::encode_to_vec(message, bincode::config::standard())
        .map_err(|error| WireError::Malformed { reason: error.to_string() })?;
    if bytes.len() > MAX_HEAD {
        return Err(WireError::TooLong { length: bytes.len(), limit: MAX_HEAD });
    }
    Ok(bytes)
}

/// Decodes a message that takes up all of `bytes`.
///
/// # Errors
///
/// Returns an error if the bytes are malformed, extend beyond the message, or are more than
/// [`MAX_HEAD`].
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, WireError> {
    if bytes.len() > MAX_HEAD {
        return Err(WireError::TooLong { length: bytes.len(), limit: MAX_HEAD });
    }
    let (message, used) = bincode::serde::decode_from_slice(bytes, FORMAT)
        .map_err(|error| WireError::Malformed { reason: error.to_string() })?;
    if used != bytes.len() {
        return Err(WireError::Malformed { reason: "unexpected bytes after the end".to_owned() });
    }
    Ok(message)
}

/// Priority of a call among those waiting for a slot: urgent calls first, then by worth.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CallPriority {
    /// Whether the call goes before all calls that are not urgent.
    pub urgent: bool,
    /// Worth of the call as configured, from 1 to 100.
    pub worth: u8,
}

/// Claim of an idempotency key, which the table must hold before the call is dispatched.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyClaim {
    /// Key of the claim's row in the table: a hash over account, service and idempotency key.
    pub row: String,
    /// Hash of the request, which distinguishes a repeat from another request
    /// with the same key.
    #[serde(rename = "print")]
    pub fingerprint: String,
    /// Version of the existing row to take over, whose call is known not to have run.
    pub takeover: Option<u64>,
}

/// What the entry knows of where a call was made.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallOrigin {
    /// Service of the target on the entry's host, if there is one.
    pub service: Option<ServiceName>,
    /// Whether that target was running a call when this call arrived at the entry.
    pub busy: bool,
    /// Whether the entry knows that this target made the call.
    pub nested: bool,
}

/// Head of a call that an entry sends to a guard, followed by the request body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallHead {
    /// Id of the attempt.
    pub call: CallId,
    /// Digest of the request.
    pub digest: RequestDigest,
    /// Crash record of the request at the entry.
    pub suspect: SuspectRecord,
    /// Incarnation of the guard that the attempt is meant for; any other must refuse it.
    pub incarnation: DaemonIncarnation,
    /// Service that is called.
    pub service: ServiceName,
    /// Target chosen by the entry.
    pub target: TargetName,
    /// Client account of the caller.
    pub account: AccountName,
    /// The account's share of a target, relative to the shares of other accounts.
    pub share: u16,
    /// Priority of the call among those waiting for a slot.
    pub priority: CallPriority,
    /// Time left to the caller's deadline when the attempt was sent, in milliseconds.
    pub remaining_ms: u32,
    /// Time at which the attempt was sent, by the entry's estimate of the guard's clock;
    /// `None` if the entry has no estimate.
    ///
    /// The guard subtracts the time in transit from the time left to the deadline.
    pub sent: Option<MicroTime>,
    /// Maximum time the call may wait for a slot, in milliseconds.
    #[serde(rename = "patience_ms")]
    pub max_wait_ms: u32,
    /// Time that a target at its normal speed takes for the call, in microseconds; zero if
    /// unknown.
    pub work_us: u32,
    /// Whether the call may run more than once, and so may be cancelled at the target when the
    /// entry drops it.
    pub repeatable: bool,
    /// Whether the entry has no other target left to try.
    pub last: bool,
    /// Name of the route or kind of the call.
    pub route: String,
    /// Where the call was made.
    pub origin: CallOrigin,
    /// Use of the account's quota over the fleet, in thousandths; zero if unknown.
    pub account_usage: u16,
    /// Whether the body is sent only once the guard asks for it.
    pub body_follows: bool,
    /// Rate that the target stated to an earlier guard of it; `None` if the entry knows of none.
    pub stated_rate: Option<StatedRate>,
    /// Claim to make before the dispatch, if the call carries an idempotency key.
    pub claim: Option<KeyClaim>,
    /// HTTP method.
    pub method: String,
    /// Path and query at the target.
    pub path: String,
    /// Request headers to forward to the target.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Length of the request body that follows, in bytes.
    pub body_len: u32,
}

/// Reason for which a guard did not run a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RefusalReason {
    /// All slots and the queue of the target are full.
    Full,
    /// The deadline would pass before a slot is free.
    TooLate,
    /// A newer call that goes before this one took its place in the full queue.
    Outranked,
    /// The target's host is currently slower than normal.
    Slow,
    /// The target is cold and can serve no more calls for now.
    Cold,
    /// The target states the rate of calls that it takes, which is used up for now.
    RateLimited,
    /// The target is leaving or not ready, or its data centre is evacuated.
    Leaving,
    /// The daemon has no such target, or is another incarnation than the call is meant for.
    Absent,
    /// The call was revoked before it was dispatched.
    Revoked,
    /// The target can't be reached.
    Unreachable,
    /// The target received the call and reports that it did not run it.
    Declined,
    /// The table did not accept the claim.
    PlatformDown,
    /// The message violates the protocol between daemons.
    Malformed,
    /// The request crashes the targets that run it.
    EndsTargets,
    /// Calls that the call's run makes could not be served.
    Downstream,
    /// The call's token was revoked, or may have been without the entry's knowledge.
    Unconfirmed,
}

impl RefusalReason {
    /// Returns the reason as a metric label.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Full => "full",
            Self::TooLate => "too_late",
            Self::Outranked => "outranked",
            Self::Slow => "slow",
            Self::Cold => "cold",
            Self::RateLimited => "rate_limited",
            Self::Leaving => "leaving",
            Self::Absent => "absent",
            Self::Revoked => "revoked",
            Self::Unreachable => "unreachable",
            Self::Declined => "declined",
            Self::PlatformDown => "platform_down",
            Self::Malformed => "malformed",
            Self::EndsTargets => "ends_targets",
            Self::Downstream => "downstream",
            Self::Unconfirmed => "unconfirmed",
        }
    }
}

/// Head of the answer that a guard sends to an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum AnswerHead {
    /// The target answered; the body follows.
    Answered {
        /// The attempt that was answered.
        call: CallId,
        /// HTTP status of the target.
        status: u16,
        /// Answer headers to forward to the caller.
        headers: Vec<(String, Vec<u8>)>,
        /// Length of the body in bytes, if the target sent it.
        length: Option<u64>,
        /// Time that the call would have taken at the target's normal speed, in microseconds.
        work_us: u32,
        /// Load of the target after this call.
        load: LoadReport,
        /// Whether the guard takes the call's route for one that only targets call.
        nested: bool,
    },
    /// The call did not run and never will.
    Refused {
        /// The attempt that was refused.
        call: CallId,
        /// Reason for the refusal.
        reason: RefusalReason,
        /// Time after which the caller should retry, in milliseconds.
        retry_after_ms: u32,
        /// Load of the target at the refusal.
        load: LoadReport,
        /// Crash record of the request at the guard.
        suspect: SuspectRecord,
        /// Whether the guard takes the call's route for one that only targets call.
        nested: bool,
    },
    /// The call may be admitted now; its body is to be sent.
    SendBody {
        /// The attempt whose body is requested.
        call: CallId,
    },
    /// The call may have run, but the target gave no complete answer.
    Lost {
        /// The attempt that was lost.
        call: CallId,
        /// Load of the target at the loss.
        load: LoadReport,
        /// Crash record of the request at the guard, including this loss.
        suspect: SuspectRecord,
        /// Whether the target sent something that is no answer to the call.
        invalid_answer: bool,
    },
    /// The idempotency key is claimed by an earlier call.
    Claimed {
        /// The attempt that found the claim; it did not run.
        call: CallId,
        /// Row of the claim.
        row: Box<ClaimRow>,
        /// Version of the row.
        version: u64,
    },
}

/// Request of an entry to a guard not to dispatch a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevokeHead {
    /// The attempt to revoke.
    pub call: CallId,
    /// Incarnation of the guard that the attempt was sent to.
    pub incarnation: DaemonIncarnation,
    /// Time at which the attempt was sent, as its head states it; `None` if that is not known.
    pub sent: Option<MicroTime>,
}

/// Request of an entry to a guard for a stream of a target's load reports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchHead {
    /// Service of the target.
    pub service: ServiceName,
    /// Target to report on.
    pub target: TargetName,
    /// Data centre of the entry.
    pub data_centre: CentreName,
}

/// Reply of a guard to a [`RevokeHead`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RevokeReply {
    /// Status of the call; final unless it is running.
    pub status: CallStatus,
}
