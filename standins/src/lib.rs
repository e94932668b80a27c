//! Test doubles for what railspan runs between: the platform, targets and callers.

mod bucket;
mod caller;
mod hosted;
mod hosted_behaviour;
mod hosted_client;
mod hosted_heartbeat;
mod hosted_nested;
mod http;
mod link;
mod other_writers;
mod platform;
mod process;
mod process_memory;
mod target;

pub use caller::{CallReport, CallRequest, CallerClient, Verdict, fetch, fetch_runs};
pub use hosted::{HostedRun, HostedTarget};
pub use hosted_behaviour::{HostedBehaviour, RawEnd};
pub use hosted_client::{HostedConnection, HostedResponse, hosted_call};
pub use hosted_nested::{NestedCall, NestedCallRule, NestedCalls};
pub use link::{FaultyLink, LinkDirection};
pub use platform::{PlatformFaults, PlatformLimits, PlatformStandin};
pub use process::{DaemonEndpoints, DaemonProcess, DaemonSpec};
pub use process_memory::ProcessMemory;
pub use target::{TargetBehaviour, TargetOptions, TargetRun, TargetStandin, expected_body};
