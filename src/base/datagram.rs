//! Datagrams between entries and guards: load probes, requests for grants from quotas, returns of
//! grants, and requests for confirmations from the store.

use serde::{Deserialize, Serialize};

use crate::base::ids::{AccountName, DaemonIncarnation, ServiceName, TargetName};
use crate::base::load_report::LoadReport;
use crate::base::wire::CallPriority;

/// Load probe that an entry sends to a guard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeRequest {
    /// Incarnation of the guard that the probe is meant for.
    pub incarnation: DaemonIncarnation,
    /// Service of the target.
    pub service: ServiceName,
    /// Target to report on.
    pub target: TargetName,
}

/// Reply of a guard to a [`ProbeRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeReply {
    /// Service of the target.
    pub service: ServiceName,
    /// Target that the report is on.
    pub target: TargetName,
    /// Load of the target.
    pub load: LoadReport,
}

/// Request of an entry for a grant from a daemon that holds a part of an account's quota.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaRequest {
    /// Sequence number, repeated in the reply.
    pub number: u64,
    /// Account whose quota is requested.
    pub account: AccountName,
    /// Number of requests that wait at the entry or are expected next.
    pub want: u16,
    /// Whether the entry has been running for at least one window of the quota.
    pub settled: bool,
    /// Priority of the request that waits at the entry.
    pub priority: CallPriority,
    /// Demand that no holder knows of yet: the requests of this priority that the entry admitted
    /// since its last request for them, and the one that waits; zero if another holder was asked
    /// for these before.
    pub new_demand: u16,
    /// Incarnation of the entry's daemon, which together with `number` identifies the grant.
    pub incarnation: DaemonIncarnation,
}

/// Reply to a [`QuotaRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaReply {
    /// Sequence number of the request.
    pub number: u64,
    /// Number of requests that the entry may admit.
    pub granted: u16,
    /// Time until more requests can be granted, if none were, in milliseconds; `None` if the
    /// daemon holds no part of the quota.
    pub wait_ms: Option<u32>,
    /// Use of the account's quota in the current window, in thousandths, as far as this daemon
    /// knows; zero if unknown.
    pub usage_permille: u16,
}

/// Return of requests of a grant that were not used, or were refused before they reached a
/// target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaReturn {
    /// Incarnation of the entry's daemon, which together with `number` identifies the grant.
    pub incarnation: DaemonIncarnation,
    /// Sequence number of the request that was granted.
    pub number: u64,
    /// Account whose quota the grant is from.
    pub account: AccountName,
    /// Number of requests of the grant that have been returned so far, including these.
    pub count: u16,
}

/// Request of an entry for the newest confirmation that another daemon has from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmationRequest {
    /// Sequence number, repeated in the reply.
    pub number: u64,
}

/// Reply to a [`ConfirmationRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmationReply {
    /// Sequence number of the request.
    pub number: u64,
    /// Revision than which the store held no newer one, and the age of that knowledge in
    /// microseconds; `None` if the daemon has none.
    pub confirmed: Option<(u64, u64)>,
}

/// Datagram from an entry to a guard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GuardDatagram {
    /// Requests the load of a target.
    Probe(ProbeRequest),
    /// Requests a grant from an account's quota.
    Quota(QuotaRequest),
    /// Returns unused grants; it has no reply.
    QuotaReturn(QuotaReturn),
    /// Requests the newest confirmation from the store.
    Confirmation(ConfirmationRequest),
}

/// Reply of a guard to a [`GuardDatagram`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GuardReply {
    /// Reply to [`GuardDatagram::Probe`].
    Probe(ProbeReply),
    /// Reply to [`GuardDatagram::Quota`].
    Quota(QuotaReply),
    /// Reply to [`GuardDatagram::Confirmation`].
    Confirmation(ConfirmationReply),
}
