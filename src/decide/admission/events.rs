//! What happens at the admission queue of a target, and what follows from it.

use crate::base::clock::MicroTime;
use crate::base::ids::{AccountName, CallId};
use crate::base::wire::{CallPriority, RefusalReason};

/// A call at the queue of a guard.
#[derive(Clone, Debug)]
pub struct WaitingCall {
    /// The call.
    pub call: CallId,
    /// Who calls.
    pub account: AccountName,
    /// The account's share.
    pub share: u16,
    /// How it competes.
    pub priority: CallPriority,
    /// When its caller stops waiting.
    pub deadline: MicroTime,
    /// When it is refused if it has no slot yet; not after the deadline.
    pub queue_deadline: MicroTime,
    /// Time a target at its usual speed takes, in microseconds; zero if unknown.
    pub work_us: u32,
    /// Whether its entry has no other target left to try.
    pub last_target: bool,
}

/// What happens at a guard.
#[derive(Clone, Debug)]
pub enum AdmissionEvent {
    /// A call came.
    Arrive(WaitingCall),
    /// A started call ended after `took`; `failed` if the target broke it.
    Finish {
        /// The call.
        call: CallId,
        /// Time in the target, or none if it was never dispatched.
        took: Option<MicroTime>,
        /// Whether the target failed it.
        failed: bool,
    },
    /// A call that was not dispatched was revoked or its caller left.
    Cancel(CallId),
    /// Time passed.
    Tick,
}

/// What a guard has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmissionAction {
    /// Start the call now.
    Start(CallId),
    /// Refuse the call now.
    Refuse {
        /// The call.
        call: CallId,
        /// Why.
        reason: RefusalReason,
        /// When its caller may come back.
        retry_after_ms: u32,
    },
}
