//! Input events and resulting actions of a target's admission queue.

use crate::base::clock::MicroTime;
use crate::base::ids::{AccountName, CallId};
use crate::base::wire::{CallPriority, RefusalReason};

/// A call that has arrived at a guard and has no slot yet.
#[derive(Clone, Debug)]
pub struct WaitingCall {
    /// Id of the call.
    pub call: CallId,
    /// Client account that makes the call.
    pub account: AccountName,
    /// The account's share of the target, relative to other accounts.
    pub share: u16,
    /// Priority in the competition for a slot.
    pub priority: CallPriority,
    /// Time at which the caller stops waiting for an answer.
    pub deadline: MicroTime,
    /// Time at which the call is refused if it has no slot yet; never after `deadline`.
    pub queue_deadline: MicroTime,
    /// Expected service time on a host of normal speed, in microseconds; zero if unknown.
    pub work_us: u32,
    /// Whether the entry has no other target left to try.
    pub last_target: bool,
    /// Whether a target made the call for one of its runs.
    pub nested: bool,
}

/// An input event of an admission queue.
#[derive(Clone, Debug)]
pub enum AdmissionEvent {
    /// A call arrived.
    Arrive(WaitingCall),
    /// A started call ended.
    Finish {
        /// Id of the call.
        call: CallId,
        /// Time the call spent in the target; `None` if it was never dispatched.
        took: Option<MicroTime>,
        /// Whether the target failed to serve the call.
        failed: bool,
    },
    /// A call that was not dispatched was revoked, or its caller disconnected.
    Cancel(CallId),
    /// Time passed.
    Tick,
}

/// An action that the guard has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmissionAction {
    /// Dispatch the call now.
    Start(CallId),
    /// Refuse the call now.
    Refuse {
        /// Id of the call.
        call: CallId,
        /// Reason that the caller gets.
        reason: RefusalReason,
        /// Time after which the caller may retry, in milliseconds.
        retry_after_ms: u32,
    },
}
