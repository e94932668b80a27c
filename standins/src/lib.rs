//! Small stand-ins for the platform, a target and a caller.

mod bucket;
mod caller;
mod hosted;
mod hosted_answer;
mod hosted_client;
mod http;
mod link;
mod other_writers;
mod platform;
mod process;
mod target;

pub use caller::{CallReport, CallRequest, CallerClient, Verdict, fetch, fetch_runs};
pub use hosted::{HostedRun, HostedTarget};
pub use hosted_answer::HostedMood;
pub use hosted_client::{HostedAnswer, HostedConnection, hosted_call};
pub use link::{FaultyLink, LinkWay};
pub use platform::{PlatformFaults, PlatformLimits, PlatformStandin};
pub use process::{DaemonPlace, DaemonProcess, DaemonSpec};
pub use target::{TargetBehaviour, TargetOptions, TargetRun, TargetStandin, expected_body};
