//! A load balancer for servers whose load shifts in milliseconds.
//!
//! One daemon runs on each host. It consists of duties, event loops that run on a thread
//! each or all on one. Two of them serve calls: the entry accepts a call from a caller,
//! chooses a target, and sends the call to the guard on the target's host; the guard queues
//! calls and is the only client of its target. The others exchange gossip with other daemons
//! (peers), read and write the platform's store (platform), and serve operators (admin).
//! All decisions are made in state machines without I/O or clock; the duties do the I/O.
//!
//! # Examples
//!
//! ```
//! use railspan::{AdmissionAction, AdmissionEvent, AdmissionQueue, MicroTime, WaitingCall};
//! use railspan::{CallId, CallPriority};
//!
//! let mut queue = AdmissionQueue::open(1);
//! let mut actions = Vec::new();
//! let call = WaitingCall {
//!     call: CallId(7),
//!     account: "rio-pilots".into(),
//!     share: 1,
//!     priority: CallPriority { urgent: true, worth: 9 },
//!     deadline: MicroTime::from_millis(100),
//!     queue_deadline: MicroTime::from_millis(100),
//!     work_us: 0,
//!     last_target: true,
//!     nested: false,
//! };
//! queue.step(MicroTime(0), AdmissionEvent::Arrive(call), &mut actions);
//! assert_eq!(actions, [AdmissionAction::Start(CallId(7))]);
//! ```

mod base;
mod call;
mod command;
mod decide;
mod durable;
mod duty;
mod fleet;
#[path = "../platform/mod.rs"]
mod platform;
mod process;
mod rules;
mod store;

pub use base::call_status::{CallStatus, ClaimRow, ClaimState, RecordedAnswer};
pub use base::clock::MicroTime;
pub use base::connection_plan::{ConnectionPlan, MAX_DESCRIPTORS, MIN_DESCRIPTORS};
pub use base::consts::*;
pub use base::datagram::{
    ConfirmationReply, ConfirmationRequest, GuardDatagram, GuardReply, ProbeReply, ProbeRequest,
    QuotaReply, QuotaRequest, QuotaReturn,
};
pub use base::digest::RequestDigest;
pub use base::evacuation::{EvacuationState, EvacuationUpdate};
pub use base::findings::{FileFinding, FindingList, TextPosition, closest_name};
pub use base::ids::{
    AccountName, CallId, CentreName, DaemonIncarnation, HostName, ServiceName, TargetName,
};
pub use base::load_report::{LoadReport, StartAllowance, StatedRate, TargetStatement};
pub use base::member::{
    AdvertisedTarget, EXCHANGE_BUCKETS, FleetView, GossipKind, GossipMessage, MemberRecord,
    MemberState,
};
pub use base::memory_plan::{
    DEFAULT_MEMORY_MB, DutyMemoryUse, MAX_MEMORY_MB, MIN_MEMORY_MB, MemoryPlan, MemoryUse,
};
pub use base::suspect::{
    BLAMED_AFTER_CRASHES, RUNS_ALONE_AFTER_CRASHES, SuspectRecord, SuspectUpdate,
};
pub use base::wire::{
    AnswerHead, CallHead, CallOrigin, CallPriority, KeyClaim, RefusalReason, RevokeHead,
    RevokeReply, WatchHead, WireError, decode, encode,
};
pub use call::headers::*;
pub use call::responses::CallOutcome;
pub use command::accounts::{AccountStatus, AccountsPage, DemandSum, FleetDemand, render_accounts};
pub use command::cli::run_command;
pub use command::operator::{HostCondition, HostStatus, TargetStatus, TokenCondition};
pub use command::request_trace::{RequestTrace, TraceLine};
pub use command::status::render_status;
pub use command::targets::render_targets;
pub use decide::account_demand::{
    AccountCounts, AccountDemand, DemandReport, RefusalCount, RequestEnd,
};
pub use decide::account_usage::{AccountUsage, MAX_TRACKED_ACCOUNTS};
pub use decide::admission::{AdmissionAction, AdmissionEvent, AdmissionQueue, WaitingCall};
pub use decide::answer_check::{AnswerCheck, AnswerFault, MAX_HEAD_BYTES, MAX_INTERIM_ANSWERS};
pub use decide::benefit::BENEFIT_POLICY;
pub use decide::body_memory::{BodyMemory, BodyNumber};
pub use decide::call_ledger::{CallLedger, ClaimVerdict, LedgerUse};
pub use decide::clock_offset::ClockOffset;
pub use decide::cold_start::{COLD_RATE_WINDOW, ColdStartLimit, ColdTerms};
pub use decide::commit_backoff::CommitBackoff;
pub use decide::connection_account::{
    ConnectionAccount, ConnectionLimits, ConnectionNumber, ConnectionState, ConnectionUse,
};
pub use decide::crash_suspects::{CrashSuspects, MAX_SUSPECTS, MergeEffect};
pub use decide::crossing::LocalQueueing;
pub use decide::downstream::{DownstreamThrottle, ShareChange, StartDecision};
pub use decide::host_speed::HostSpeed;
pub use decide::known_statements::KnownStatements;
pub use decide::lease::{TargetCondition, TargetLease};
pub use decide::limit::ConcurrencyLimit;
pub use decide::nested::{RouteCall, RouteClassifier, RouteFinding, ServiceShares};
pub use decide::probe_budget::ProbeBudget;
pub use decide::quota::{
    AccountQuota, CapsChange, GRANT_LIFETIME, GrantKey, GrantRef, HolderChange, QuotaCredit,
    QuotaDecision, QuotaGrant, QuotaHolder, QuotaTerms, QuotaWindow, ReturnedCounts,
    choose_holders,
};
pub use decide::rate_limit::{RateLimit, RateSource};
pub use decide::read_schedule::ReadSchedule;
pub use decide::registry::{ServiceTargets, TargetRegistry};
pub use decide::report_pacer::ReportPacer;
pub use decide::retry::{
    AttemptResult, CallAttempts, RetryBudget, RetryDecision, RetryShare, hedge_after,
};
pub use decide::revocation::{
    AskTiming, ConfirmationAsker, ConfirmationRound, ReadChain, RevocationState, StoreConfirmation,
    StoreRead,
};
pub use decide::running_requests::{RunningRequests, TrackedRequest};
pub use decide::selection::{
    CallEstimate, DEFAULT_POLICY, SelectionInput, SelectionPolicy, TargetLocation, TargetRecord,
    default_policy, policy, policy_names,
};
pub use decide::target_incarnation::{HeartbeatVerdict, TargetIncarnation};
pub use duty::target_report::{TargetAnnouncement, TargetReport};
pub use fleet::membership::{MembershipAction, MembershipEvent, MembershipState};
pub use fleet::store_followers::{
    AskPlan, FollowerRole, MAX_STORE_FOLLOWERS, ask_plan, follows_store, read_order,
    select_followers, store_rank,
};
pub use platform::{ConfigurationError, adapter, open_store};
pub use process::adapter::{
    ControlError, ControlRequest, DeploymentAdapter, DeploymentTerms, ParsedTerms,
};
pub use process::daemon::{DaemonParts, RunningDaemon, spawn};
pub use process::listen::{DaemonAddresses, StartError};
pub use process::settings::{BudgetSettings, DaemonSettings, DeploymentSettings, is_settings};
pub use rules::account::{AccountIndex, AccountParameters, KindParameters, TokenHash};
pub use rules::config::{FleetConfig, RequestKind, ServiceTemplate};
pub use rules::options::{CallOptions, HedgeRule, KindOptions};
pub use rules::revision::{ActiveRevision, AdoptError, RevisionHead, RevisionState};
pub use rules::route::{
    CallerLimits, ColdStart, HealthCheck, RouteIndex, RouteRule, WeightedService,
};
pub use store::publish::{HEAD_KEY, PublishError, body_name, publish, read_head};
pub use store::table::{
    CommitReply, ConfigPosition, ConfigUpdate, OperatorConfig, PlatformClient, PlatformError,
    PutObjectOperation, StoreFuture, StoreOperation, StoreOperations, TableRow, TableWrite,
};
