//! Messages between daemons and their encoding.

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
use crate::base::suspect::SuspectRecord;

/// A message that could not be encoded or decoded.
#[derive(Debug, Snafu)]
pub enum WireError {
    /// The bytes are not a message of the expected kind.
    #[snafu(display("malformed message: {reason}"))]
    Malformed {
        /// What the codec said.
        reason: String,
    },
    /// The message is longer than its limit.
    #[snafu(display("message of {length} bytes is over the limit of {limit}"))]
    TooLong {
        /// Length found, in bytes.
        length: usize,
        /// Length allowed, in bytes.
        limit: usize,
    },
}

type WireFormat = Configuration<LittleEndian, Varint, bincode::config::Limit<MAX_HEAD>>;

const FORMAT: WireFormat = bincode::config::standard().with_limit::<MAX_HEAD>();

/// Encodes a message.
///
/// # Errors
///
/// Fails when the message is over [`MAX_HEAD`].
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, WireError> {
    let bytes = bincode::serde::encode_to_vec(message, bincode::config::standard())
        .map_err(|error| WireError::Malformed { reason: error.to_string() })?;
    if bytes.len() > MAX_HEAD {
        return Err(WireError::TooLong { length: bytes.len(), limit: MAX_HEAD });
    }
    Ok(bytes)
}

/// Decodes a message that fills `bytes` whole.
///
/// # Errors
///
/// Fails on malformed bytes, on bytes left over, and over [`MAX_HEAD`].
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, WireError> {
    if bytes.len() > MAX_HEAD {
        return Err(WireError::TooLong { length: bytes.len(), limit: MAX_HEAD });
    }
    let (message, used) = bincode::serde::decode_from_slice(bytes, FORMAT)
        .map_err(|error| WireError::Malformed { reason: error.to_string() })?;
    if used != bytes.len() {
        return Err(WireError::Malformed { reason: "bytes left over".to_owned() });
    }
    Ok(message)
}

/// The load of a target as its guard knows it when it speaks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Calls running in the target now. Exact: the guard is its only client.
    pub in_flight: u16,
    /// Calls waiting at the guard.
    pub queued: u16,
    /// Calls the target may run at once: its limit, at most its slots.
    pub slots: u16,
    /// Smoothed time the target takes for a call, in microseconds.
    pub service_us: u32,
    /// How long work takes at this moment, in percent of the usual; zero where
    /// the target does not tell.
    pub slowness: u16,
    /// Smoothed share of failed answers, in thousandths.
    #[serde(rename = "failing")]
    pub failure_permille: u16,
    /// Grows with every report of one guard incarnation.
    pub sequence: u64,
    /// When the guard said it, by its own clock.
    #[serde(rename = "told")]
    pub reported_at: MicroTime,
    /// What a target that is cold may still be given; nothing where it is warm.
    pub cold: Option<ColdAllowance>,
}

/// The room of a cold target, which bears few calls a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdAllowance {
    /// Calls that may begin at once.
    #[serde(rename = "now")]
    pub available: u16,
    /// Time from then until one more may, in milliseconds.
    pub next_ms: u16,
}

/// How a call competes for a slot: urgent ones first, then by worth.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CallPriority {
    /// Whether the call goes ahead of all that are not urgent.
    pub urgent: bool,
    /// Stated worth, 1 to 100.
    pub worth: u8,
}

/// A claim that must be in the table before the call may be dispatched.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyClaim {
    /// The row's key in the table: a hash over account, service and key.
    pub row: String,
    /// Hash of the request, to tell a repeat from another request.
    #[serde(rename = "print")]
    pub fingerprint: String,
    /// Version of a row whose call is known not to have run, to take it over.
    pub takeover: Option<u64>,
}

/// What an entry sends ahead of a request body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallHead {
    /// The call; each attempt has an id of its own.
    pub call: CallId,
    /// The request that is tried.
    pub digest: RequestDigest,
    /// What the entry knows of the request's part in crashes.
    pub suspect: SuspectRecord,
    /// The guard life this attempt is for; any other must refuse it.
    pub incarnation: DaemonIncarnation,
    /// The service called.
    pub service: ServiceName,
    /// The target chosen.
    pub target: TargetName,
    /// The client account that calls.
    pub account: AccountName,
    /// The account's share of a target, relative to the others'.
    pub share: u16,
    /// How the call competes for a slot.
    pub priority: CallPriority,
    /// Time left to the caller's deadline, in milliseconds.
    pub remaining_ms: u32,
    /// When the entry sent it, by the guard's clock as far as the entry knows it:
    /// what a held-up call lost on its way is no longer left to it.
    pub sent: Option<MicroTime>,
    /// Longest time the call may wait for a slot, in milliseconds.
    #[serde(rename = "patience_ms")]
    pub max_wait_ms: u32,
    /// Time a target at its usual speed takes, in microseconds; zero if unknown.
    pub work_us: u32,
    /// Whether a call that was dropped may be cancelled at the target.
    pub repeatable: bool,
    /// Whether the entry has no other target left to try.
    pub last: bool,
    /// The claim to be made, for a call that carries an idempotency key.
    pub claim: Option<KeyClaim>,
    /// HTTP method.
    pub method: String,
    /// Path and query at the target.
    pub path: String,
    /// Request headers that travel on.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Length of the body that follows, in bytes.
    pub body_len: u32,
}

/// Why a guard did not run a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RefusalReason {
    /// The target's slots and its queue are full.
    Full,
    /// The deadline would pass before a slot is free.
    TooLate,
    /// A call of greater worth took the place in the queue.
    Outranked,
    /// The target's host is slower than usual at this moment.
    Slow,
    /// The target is cold and was given all that it bears for now.
    Cold,
    /// The target is leaving, or not ready yet.
    Leaving,
    /// No such target here, or another life of this daemon.
    Absent,
    /// The call was revoked before it was dispatched.
    Revoked,
    /// The target can't be reached.
    Unreachable,
    /// The target had the call and says that it did not run it.
    Declined,
    /// The table did not accept the claim.
    PlatformDown,
    /// The request breaks a rule of this protocol.
    Malformed,
    /// Targets that ran the request ended.
    EndsTargets,
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
            Self::Leaving => "leaving",
            Self::Absent => "absent",
            Self::Revoked => "revoked",
            Self::Unreachable => "unreachable",
            Self::Declined => "declined",
            Self::PlatformDown => "platform_down",
            Self::Malformed => "malformed",
            Self::EndsTargets => "ends_targets",
        }
    }
}

/// What a guard sends ahead of an answer body.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum AnswerHead {
    /// The target answered; its body follows.
    Answered {
        /// The call answered.
        call: CallId,
        /// HTTP status of the target.
        status: u16,
        /// Answer headers that travel on.
        headers: Vec<(String, Vec<u8>)>,
        /// Length of the body in bytes, where the target said it.
        length: Option<u64>,
        /// Work that the target did for it, in microseconds at its usual speed.
        work_us: u32,
        /// Load after this call.
        load: LoadReport,
    },
    /// The call did not run and never will.
    Refused {
        /// The call refused.
        call: CallId,
        /// Why.
        reason: RefusalReason,
        /// When to come back, in milliseconds.
        retry_after_ms: u32,
        /// Load at the refusal.
        load: LoadReport,
        /// What the guard knows of the request's part in crashes.
        suspect: SuspectRecord,
    },
    /// The call may have run; no answer can be had.
    Lost {
        /// The call lost.
        call: CallId,
        /// Load at the loss.
        load: LoadReport,
        /// What the guard knows of the request's part in crashes, this one included.
        suspect: SuspectRecord,
    },
    /// The idempotency key is claimed by an earlier call.
    Claimed {
        /// The call that found the claim; it did not run.
        call: CallId,
        /// The row found.
        row: Box<ClaimRow>,
        /// The row's version.
        version: u64,
    },
}

/// An entry asks a guard to stop a call it has not dispatched yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevokeHead {
    /// The call to stop.
    pub call: CallId,
    /// The guard life the call was sent to.
    pub incarnation: DaemonIncarnation,
}

/// An entry asks a guard to keep telling a target's load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchHead {
    /// The service.
    pub service: ServiceName,
    /// The target watched.
    pub target: TargetName,
    /// The data centre of the entry.
    pub data_centre: CentreName,
}

/// A guard's answer to a revocation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RevokeReply {
    /// What became of the call; final unless running.
    pub status: CallStatus,
}

/// A measuring message to a guard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeRequest {
    /// The guard life asked.
    pub incarnation: DaemonIncarnation,
    /// The service.
    pub service: ServiceName,
    /// The target measured.
    pub target: TargetName,
}

/// A guard's answer to a measuring message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeReply {
    /// The service.
    pub service: ServiceName,
    /// The target measured.
    pub target: TargetName,
    /// Its load.
    pub load: LoadReport,
}

/// An entry asks a daemon that holds an account's quota to let requests through.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaRequest {
    /// The entry's number of the question, for the answer.
    pub number: u64,
    /// The account.
    pub account: AccountName,
    /// Requests that wait, and those that are expected next.
    pub want: u16,
    /// Whether the entry has run for a window of the quota or more.
    pub settled: bool,
}

/// The answer to a [`QuotaRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaReply {
    /// The number of the question.
    pub number: u64,
    /// Requests that the entry may let through.
    pub granted: u16,
    /// When there is room again, if there is none now, in milliseconds; nothing where
    /// the daemon holds no part of the quota.
    pub wait_ms: Option<u32>,
}

/// A datagram to a guard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GuardDatagram {
    /// Tell a target's load.
    Probe(ProbeRequest),
    /// Grant a part of an account's quota.
    Quota(QuotaRequest),
}

/// A guard's answer to a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GuardReply {
    /// A target's load.
    Probe(ProbeReply),
    /// What is granted of a quota.
    Quota(QuotaReply),
}
