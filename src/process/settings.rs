//! Settings of a daemon.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::base::connection_plan::{MAX_DESCRIPTORS, MIN_DESCRIPTORS};
use crate::base::findings::FindingList;
use crate::base::ids::{CentreName, HostName, ServiceName};
use crate::base::memory_plan::{DEFAULT_MEMORY_MB, MAX_MEMORY_MB, MIN_MEMORY_MB};
use crate::rules::file_schema::{CheckedFile, FieldKind, FieldSchema};

/// Contents of a daemon's settings file.
#[derive(Clone, Debug, Deserialize)]
pub struct DaemonSettings {
    /// Name of the host; unique in the fleet.
    pub host: HostName,
    /// Data centre of the host.
    pub data_centre: CentreName,
    /// Address at which callers connect, by HTTP.
    pub caller_address: SocketAddr,
    /// Address at which the entries of other daemons connect, by HTTP/2.
    pub guard_address: SocketAddr,
    /// Address for gossip with other daemons, by UDP, and for fetches, by HTTP/2.
    pub peer_address: SocketAddr,
    /// Address at which operators and the host's own targets connect, by HTTP.
    pub admin_address: SocketAddr,
    /// Address at which other daemons reach the guard, if it differs from the one it
    /// listens on, as with network address translation.
    #[serde(default)]
    pub advertised_guard_address: Option<SocketAddr>,
    /// Address at which other daemons reach the peers duty, if it differs from the one it
    /// listens on.
    #[serde(default)]
    pub advertised_peer_address: Option<SocketAddr>,
    /// Address of the platform's table service and object store.
    pub platform_address: SocketAddr,
    /// Peers to contact if the platform is down at start.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Maximum duration of a planned stop, in milliseconds.
    #[serde(default = "default_stop")]
    pub stop_bound_ms: u64,
    /// Memory that the daemon may use, in MiB; the bodies of calls have shares of it.
    #[serde(default = "default_memory")]
    pub memory_mb: u64,
    /// Descriptors that the daemon may use, if these are fewer than the system allows; connections
    /// have shares of them.
    #[serde(default)]
    pub max_descriptors: Option<u64>,
    /// Budget of load probes.
    #[serde(default)]
    pub probe_budget: BudgetSettings,
    /// Whether one thread runs all duties, for hosts with a fraction of a core.
    #[serde(default)]
    pub one_thread: bool,
    /// Whether the whole fleet starts for the first time, so that no daemon can know
    /// another one yet.
    #[serde(default)]
    pub first_start: bool,
    /// Settings of the deployment, if a platform's adapter is used.
    #[serde(default)]
    pub deployment: Option<DeploymentSettings>,
    /// Seed of the random number generators; drawn at random if absent.
    #[serde(default)]
    pub seed: Option<u64>,
}

/// Settings of a daemon that is deployed on a platform.
#[derive(Clone, Debug, Deserialize)]
pub struct DeploymentSettings {
    /// Service of the host's target.
    pub service: ServiceName,
    /// Address at which the host's target listens.
    #[serde(default)]
    pub target_address: Option<SocketAddr>,
    /// Address at which the platform polls for readiness, by HTTP.
    pub ready_address: SocketAddr,
    /// Address at which the host's target reports, by HTTP.
    pub control_address: SocketAddr,
    /// Terms of the platform, in the form that its adapter parses.
    pub terms: String,
    /// Cost of sending 1000 bytes between data centres, in thousandths of one call's
    /// benefit.
    #[serde(default)]
    pub crossing_cost: u32,
    /// Whether calls that targets make for their runs go before other calls of the same priority
    /// and may use slots beyond the limit.
    #[serde(default)]
    pub nested_first: bool,
    /// Whether calls are refused while most runs of their route fail and the calls that these make
    /// are not answered.
    #[serde(default)]
    pub refuse_failing_runs: bool,
}

/// Budget of load probes; zero by default.
///
/// Every answer carries a load report anyway; docs/design/policy.md has the figures.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub struct BudgetSettings {
    /// Maximum number of messages per second.
    pub messages_per_s: u32,
    /// Maximum number of bytes per second.
    pub bytes_per_s: u32,
}

const fn default_stop() -> u64 {
    20_000
}

const fn default_memory() -> u64 {
    DEFAULT_MEMORY_MB
}

const BUDGET_FIELDS: &[FieldSchema] = &[
    FieldSchema { name: "messages_per_s", kind: FieldKind::Integer(0, 100_000), required: true },
    FieldSchema { name: "bytes_per_s", kind: FieldKind::Integer(0, 100_000_000), required: true },
];

const DEPLOYMENT_FIELDS: &[FieldSchema] = &[
    FieldSchema { name: "service", kind: FieldKind::Name, required: true },
    FieldSchema { name: "target_address", kind: FieldKind::Address, required: false },
    FieldSchema { name: "ready_address", kind: FieldKind::Address, required: true },
    FieldSchema { name: "control_address", kind: FieldKind::Address, required: true },
    FieldSchema { name: "crossing_cost", kind: FieldKind::Integer(0, 100_000), required: false },
    FieldSchema { name: "nested_first", kind: FieldKind::Flag, required: false },
    FieldSchema { name: "refuse_failing_runs", kind: FieldKind::Flag, required: false },
    FieldSchema { name: "terms", kind: FieldKind::Text(4_000), required: true },
];

const SETTINGS_FIELDS: &[FieldSchema] = &[
    FieldSchema { name: "host", kind: FieldKind::Name, required: true },
    FieldSchema { name: "data_centre", kind: FieldKind::Name, required: true },
    FieldSchema { name: "caller_address", kind: FieldKind::Address, required: true },
    FieldSchema { name: "guard_address", kind: FieldKind::Address, required: true },
    FieldSchema { name: "peer_address", kind: FieldKind::Address, required: true },
    FieldSchema { name: "admin_address", kind: FieldKind::Address, required: true },
    FieldSchema { name: "advertised_guard_address", kind: FieldKind::Address, required: false },
    FieldSchema { name: "advertised_peer_address", kind: FieldKind::Address, required: false },
    FieldSchema { name: "platform_address", kind: FieldKind::Address, required: true },
    FieldSchema { name: "seeds", kind: FieldKind::Addresses, required: false },
    FieldSchema { name: "stop_bound_ms", kind: FieldKind::Integer(0, 600_000), required: false },
    FieldSchema {
        name: "memory_mb",
        kind: FieldKind::Integer(MIN_MEMORY_MB, MAX_MEMORY_MB),
        required: false,
    },
    FieldSchema {
        name: "max_descriptors",
        kind: FieldKind::Integer(MIN_DESCRIPTORS, MAX_DESCRIPTORS),
        required: false,
    },
    FieldSchema { name: "probe_budget", kind: FieldKind::Object(BUDGET_FIELDS), required: false },
    FieldSchema { name: "one_thread", kind: FieldKind::Flag, required: false },
    FieldSchema { name: "first_start", kind: FieldKind::Flag, required: false },
    FieldSchema { name: "deployment", kind: FieldKind::Object(DEPLOYMENT_FIELDS), required: false },
    FieldSchema { name: "seed", kind: FieldKind::Integer(0, u64::MAX), required: false },
];

impl DaemonSettings {
    /// Reads and parses a settings file.
    ///
    /// # Errors
    ///
    /// Returns all findings, each with its position; a file that can't be read is one.
    pub fn open(file: &str) -> Result<Self, FindingList> {
        match std::fs::read_to_string(file) {
            Ok(text) => Self::parse(file, &text),
            Err(error) => Err(FindingList::of_file(file, &error.to_string())),
        }
    }

    /// Parses the text of a settings file; `file` is its name in findings.
    ///
    /// # Errors
    ///
    /// Returns all findings, each with its position.
    pub fn parse(file: &str, text: &str) -> Result<Self, FindingList> {
        let mut checked = CheckedFile::open(file, text, SETTINGS_FIELDS);
        let options = jsonc_parser::ParseOptions::default();
        let parsed = jsonc_parser::parse_to_serde_value::<Self>(text, &options);
        match parsed {
            Ok(settings) if checked.findings.is_empty() => Ok(settings),
            Err(error) if checked.findings.is_empty() => {
                checked.add_at("", &error.to_string());
                Err(FindingList(checked.findings))
            }
            _ => Err(FindingList(checked.findings)),
        }
    }
}

/// Returns whether a file contains settings rather than templates.
#[must_use]
pub fn is_settings(text: &str) -> bool {
    let keys = crate::rules::file_schema::top_keys(text);
    let is_template_key = |key: &String| key == "services" || key == "accounts";
    !keys.iter().any(is_template_key)
}
