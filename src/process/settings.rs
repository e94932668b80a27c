//! The settings of one daemon.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::base::findings::FindingList;
use crate::base::ids::{CentreName, HostName, ServiceName};
use crate::rules::file_schema::{CheckedFile, FieldKind, FieldSchema};

/// What a daemon learns from its settings file.
#[derive(Clone, Debug, Deserialize)]
pub struct DaemonSettings {
    /// The host's name; unique in the fleet.
    pub host: HostName,
    /// The host's data centre.
    pub data_centre: CentreName,
    /// Where callers connect, by HTTP.
    pub caller_address: SocketAddr,
    /// Where other daemons' entries connect, by h2.
    pub guard_address: SocketAddr,
    /// Where other daemons gossip, by UDP, and fetch, by h2 over TCP.
    pub peer_address: SocketAddr,
    /// Where operators and the host's own targets connect, by HTTP.
    pub admin_address: SocketAddr,
    /// Where other daemons reach the guard, if not at the address it listens at,
    /// as behind address translation.
    #[serde(default)]
    pub advertised_guard_address: Option<SocketAddr>,
    /// Where other daemons reach the peer duty, if not where it listens.
    #[serde(default)]
    pub advertised_peer_address: Option<SocketAddr>,
    /// The platform's table service and object store.
    pub platform_address: SocketAddr,
    /// Peers to try when the platform is down at start.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Longest time a planned stop may take, in milliseconds.
    #[serde(default = "default_stop")]
    pub stop_bound_ms: u64,
    /// What measuring the targets may cost.
    #[serde(default)]
    pub probe_budget: BudgetSettings,
    /// Whether one thread serves all duties, for hosts with a part of a core.
    #[serde(default)]
    pub one_thread: bool,
    /// Whether the whole system starts for the first time, so that no daemon can
    /// know another yet.
    #[serde(default)]
    pub first_start: bool,
    /// Set where a platform's adapter is used.
    #[serde(default)]
    pub deployment: Option<DeploymentSettings>,
    /// Seed of the random numbers, or none to draw one.
    #[serde(default)]
    pub seed: Option<u64>,
}

/// What a daemon learns of the platform that it is deployed on.
#[derive(Clone, Debug, Deserialize)]
pub struct DeploymentSettings {
    /// The service of the host's target.
    pub service: ServiceName,
    /// Where the host's target listens.
    #[serde(default)]
    pub target_address: Option<SocketAddr>,
    /// Where the platform asks for readiness, by HTTP.
    pub ready_address: SocketAddr,
    /// Where the host's target reports, by HTTP.
    pub control_address: SocketAddr,
    /// The platform's terms, as its adapter reads them.
    pub terms: String,
    /// What a thousand bytes between data centres cost, in thousandths of the
    /// benefit of one call.
    #[serde(default)]
    pub crossing_cost: u32,
}

/// The set budget of measuring messages; none by default.
///
/// Loads travel on every answer anyway; docs/design/policy.md has the figures.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub struct BudgetSettings {
    /// Messages in a second, at most.
    pub messages_per_s: u32,
    /// Bytes in a second, at most.
    pub bytes_per_s: u32,
}

const fn default_stop() -> u64 {
    20_000
}

const BUDGET_RULES: &[FieldSchema] = &[
    FieldSchema { name: "messages_per_s", kind: FieldKind::Integer(0, 100_000), required: true },
    FieldSchema { name: "bytes_per_s", kind: FieldKind::Integer(0, 100_000_000), required: true },
];

const DEPLOYMENT_RULES: &[FieldSchema] = &[
    FieldSchema { name: "service", kind: FieldKind::Name, required: true },
    FieldSchema { name: "target_address", kind: FieldKind::Address, required: false },
    FieldSchema { name: "ready_address", kind: FieldKind::Address, required: true },
    FieldSchema { name: "control_address", kind: FieldKind::Address, required: true },
    FieldSchema { name: "crossing_cost", kind: FieldKind::Integer(0, 100_000), required: false },
    FieldSchema { name: "terms", kind: FieldKind::Text(4_000), required: true },
];

const RULES: &[FieldSchema] = &[
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
    FieldSchema { name: "probe_budget", kind: FieldKind::Object(BUDGET_RULES), required: false },
    FieldSchema { name: "one_thread", kind: FieldKind::Flag, required: false },
    FieldSchema { name: "first_start", kind: FieldKind::Flag, required: false },
    FieldSchema { name: "deployment", kind: FieldKind::Object(DEPLOYMENT_RULES), required: false },
    FieldSchema { name: "seed", kind: FieldKind::Integer(0, u64::MAX), required: false },
];

impl DaemonSettings {
    /// Reads the settings of a file.
    ///
    /// # Errors
    ///
    /// Returns every finding, each with its place; a file that can't be read
    /// is one.
    pub fn open(file: &str) -> Result<Self, FindingList> {
        match std::fs::read_to_string(file) {
            Ok(text) => Self::parse(file, &text),
            Err(error) => Err(FindingList::of_file(file, &error.to_string())),
        }
    }

    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// Returns every finding, each with its place.
    pub fn parse(file: &str, text: &str) -> Result<Self, FindingList> {
        let mut checked = CheckedFile::open(file, text, RULES);
        let options = jsonc_parser::ParseOptions::default();
        let read = jsonc_parser::parse_to_serde_value::<Self>(text, &options);
        match read {
            Ok(settings) if checked.findings.is_empty() => Ok(settings),
            Err(error) if checked.findings.is_empty() => {
                checked.add_at("", &error.to_string());
                Err(FindingList(checked.findings))
            }
            _ => Err(FindingList(checked.findings)),
        }
    }
}

/// Tells whether a file holds settings rather than templates.
#[must_use]
pub fn is_settings(text: &str) -> bool {
    let keys = crate::rules::file_schema::top_keys(text);
    let template_key = |key: &String| key == "services" || key == "accounts";
    !keys.iter().any(template_key)
}
