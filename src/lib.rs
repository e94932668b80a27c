//! A load balancer for servers whose load shifts in milliseconds.
//!
//! One daemon runs beside each target host. Any daemon takes a call, chooses a
//! target, and sends the call to the daemon beside it, which alone speaks to
//! the target. Everything that decides is a kernel without I/O or clock; the
//! threads around it only move bytes.
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
//!     give_up: MicroTime::from_millis(100),
//!     work_us: 0,
//!     last: true,
//! };
//! queue.step(MicroTime(0), AdmissionEvent::Arrive(call), &mut actions);
//! assert_eq!(actions, [AdmissionAction::Start(CallId(7))]);
//! ```

mod adapter;
mod admin;
mod admission;
mod attempt;
mod benefit;
mod claim;
mod cli;
mod clock;
mod clock_lead;
mod config;
mod consts;
mod control;
mod daemon;
mod durable;
mod duty;
mod entry;
mod events;
mod findings;
mod follow;
mod guard;
mod guarded_call;
mod h2io;
mod headers;
mod health;
mod hedge;
mod host_speed;
mod httpd;
mod ids;
mod intake;
mod lease;
mod limit;
mod listen;
mod local_target;
mod log;
mod measure;
mod member;
mod membership;
mod metrics;
mod operator;
mod outcome;
mod pace;
mod peers;
#[path = "../platform/mod.rs"]
mod platform;
mod pool;
mod probe;
mod publish;
mod reload;
mod reply;
mod retry;
mod revision;
mod ring;
mod route;
mod route_book;
mod rpc;
mod schema;
mod selection;
mod served;
mod settings;
mod silence;
mod stop;
mod story;
mod table;
mod target_call;
mod target_life;
mod target_pool;
mod watching;
mod wire;

pub use adapter::{
    ControlReply, ControlRequest, DeploymentAdapter, DeploymentTerms, ReadTerms, TargetReport,
};
pub use admission::{AdmissionAction, AdmissionEvent, AdmissionQueue, WaitingCall};
pub use benefit::{BENEFIT_POLICY, CallOutlook};
pub use cli::run_command;
pub use clock::MicroTime;
pub use clock_lead::ClockLead;
pub use config::{
    AccountParameters, CallTerms, FleetConfig, HedgeRule, KindParameters, KindTerms, RequestKind,
    ServiceTemplate,
};
pub use consts::*;
pub use daemon::{DaemonAddresses, DaemonParts, RunningDaemon, spawn};
pub use findings::{FileFinding, FindingList, TextPlace, nearest};
pub use follow::{FOLLOWERS, follows_store};
pub use headers::*;
pub use host_speed::HostSpeed;
pub use ids::{
    AccountName, CallId, CentreName, DaemonIncarnation, HostName, ServiceName, TargetName,
};
pub use lease::{TargetCondition, TargetLease};
pub use limit::ConcurrencyLimit;
pub use listen::StartError;
pub use local_target::TargetAnnouncement;
pub use member::{
    FleetView, GossipKind, GossipMessage, MemberRecord, MemberState, SYNC_BUCKETS, TargetNotice,
};
pub use membership::{MembershipAction, MembershipEvent, MembershipState};
pub use outcome::{CallFate, CallLedger, ClaimRow, ClaimState, RecordedAnswer, RowVerdict};
pub use pace::CommitPace;
pub use platform::{ConfigurationError, adapter, open_store};
pub use probe::ProbeBudget;
pub use publish::{HEAD_KEY, PublishError, body_name, publish, read_head};
pub use reply::CallOutcome;
pub use retry::{CallCourse, NextStep, RetryBudget, RetryShare, TryEnd, hedge_after};
pub use revision::{ActiveRevision, AdoptRefusal, RevisionHead, RevisionState};
pub use route::{CallerLimits, HealthCheck, RouteIndex, RouteRule, RouteTarget};
pub use selection::{
    DEFAULT_POLICY, SelectionInput, SelectionPolicy, ServiceTargets, TargetPlace, TargetRecord,
    TargetRegistry, default_policy, policy, policy_names,
};
pub use settings::{BudgetSettings, DaemonSettings, DeploymentSettings, is_settings};
pub use story::{RequestStory, StoryLine};
pub use table::{
    CommitReply, ConfigNews, ObjectWrite, OperatorConfig, PlatformClient, PlatformError, StoreCall,
    StoreCalls, StoreFuture, TableRow, TableWrite,
};
pub use wire::{
    AnswerHead, CallHead, CallPriority, KeyClaim, LoadWord, ProbeReply, ProbeRequest,
    RefusalReason, RevokeHead, RevokeReply, WatchHead, WireError, decode, encode,
};
