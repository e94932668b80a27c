//! Inputs of a daemon's duties, from its settings and from what the duties share.

use std::net::{SocketAddr, TcpListener, UdpSocket};

use nix::sys::resource::{Resource, getrlimit};

use crate::base::connection_plan::{ConnectionPlan, MAX_DESCRIPTORS, MIN_DESCRIPTORS};
use crate::base::consts::{MAX_REQUEST_BODY, TARGET_LEASE};
use crate::base::ids::DaemonIncarnation;
use crate::base::member::{MemberRecord, MemberState};
use crate::call::body_room::DaemonMemory;
use crate::call::entry::EntryParts;
use crate::call::guard::GuardParts;
use crate::call::headers::HeaderNames;
use crate::decide::probe_budget::ProbeBudget;
use crate::duty::confirmation::SharedConfirmation;
use crate::duty::events::{GuardEvent, PeersEvent};
use crate::duty::own_target::OwnTarget;
use crate::duty::readiness::DaemonReadiness;
use crate::duty::ring::RingSender;
use crate::process::adapter::DeploymentTerms;
use crate::process::listen::DaemonAddresses;
use crate::process::reload;
use crate::process::settings::DaemonSettings;

/// Maximum size of a request body in a deployment, in bytes; its operator may set a lower limit.
const MAX_DEPLOYMENT_BODY: usize = 64 << 20;

/// Identity and state of a daemon that several of its duties share.
pub(super) struct SharedState {
    incarnation: DaemonIncarnation,
    /// Seed of the random numbers.
    seed: u64,
    header_names: &'static HeaderNames,
    pub(super) readiness: DaemonReadiness,
    own_target: OwnTarget,
    pub(super) confirmation: SharedConfirmation,
    memory: DaemonMemory,
    pub(super) connection_plan: ConnectionPlan,
}

impl SharedState {
    /// Creates the state at the start of a daemon.
    pub(super) fn open(
        settings: &DaemonSettings,
        terms: Option<DeploymentTerms>,
        header_names: &'static HeaderNames,
        incarnation: DaemonIncarnation,
        seed: u64,
    ) -> Self {
        let memory = DaemonMemory::open(settings.memory_mb);
        let descriptors = available_descriptors(settings.max_descriptors);
        Self {
            incarnation,
            seed,
            header_names,
            readiness: DaemonReadiness::default(),
            own_target: OwnTarget::default(),
            confirmation: SharedConfirmation::open(
                terms.and_then(|terms| terms.revocation_bound()),
                terms.map(|terms| terms.config_deadline.into()),
            ),
            connection_plan: ConnectionPlan { memory: memory.plan, descriptors },
            memory,
        }
    }
}

/// Returns the number of descriptors that the process may use.
fn available_descriptors(max_descriptors: Option<u64>) -> u64 {
    // The system always knows this limit.
    let allowed = getrlimit(Resource::RLIMIT_NOFILE).map_or(MIN_DESCRIPTORS, |(soft, _hard)| soft);
    max_descriptors.map_or(allowed, |descriptors| descriptors.min(allowed)).min(MAX_DESCRIPTORS)
}

/// Returns the inputs of the entry duty; `senders` are those to the peers duty and to the guard.
pub(super) fn entry_parts(
    settings: &DaemonSettings,
    terms: Option<DeploymentTerms>,
    shared: &SharedState,
    (listener, probe_socket): (TcpListener, UdpSocket),
    (peers, guard): (RingSender<PeersEvent>, RingSender<GuardEvent>),
) -> EntryParts {
    let deployment = settings.deployment.as_ref();
    EntryParts {
        rng_seed: shared.seed,
        incarnation: shared.incarnation,
        header_names: shared.header_names,
        data_centre: settings.data_centre.clone(),
        crossing_cost: deployment
            .map_or(0.0, |deployment| f64::from(deployment.crossing_cost) / 1_000.0),
        own_service: deployment.map(|deployment| deployment.service.clone()),
        nested_first: deployment.is_some_and(|deployment| deployment.nested_first),
        own_target: shared.own_target.clone(),
        confirmation: shared.confirmation.clone(),
        retry_share: reload::retry_share(terms),
        quota_terms: terms.map(|terms| terms.quota).unwrap_or_default(),
        readiness: shared.readiness.clone(),
        memory: shared.memory.clone(),
        connection_plan: shared.connection_plan,
        peers,
        guard,
        probe_budget: ProbeBudget::open(
            settings.probe_budget.messages_per_s,
            settings.probe_budget.bytes_per_s,
        ),
        listener,
        probe_socket,
    }
}

/// Returns the inputs of the guard duty.
pub(super) fn guard_parts(
    settings: &DaemonSettings,
    terms: Option<DeploymentTerms>,
    shared: &SharedState,
    address: SocketAddr,
    (listener, socket): (TcpListener, UdpSocket),
) -> GuardParts {
    let deployment = settings.deployment.as_ref();
    GuardParts {
        host: settings.host.clone(),
        data_centre: settings.data_centre.clone(),
        incarnation: shared.incarnation,
        header_names: shared.header_names,
        own_service: deployment.map(|deployment| deployment.service.clone()),
        nested_first: deployment.is_some_and(|deployment| deployment.nested_first),
        refuse_failing_runs: deployment.is_some_and(|deployment| deployment.refuse_failing_runs),
        own_target: shared.own_target.clone(),
        confirmation: shared.confirmation.clone(),
        target_address: deployment.and_then(|deployment| deployment.target_address),
        target_lease: terms.map_or(TARGET_LEASE, |terms| terms.target_lease),
        cold_terms: terms.map(|terms| terms.cold).unwrap_or_default(),
        quota_terms: terms.map(|terms| terms.quota).unwrap_or_default(),
        connection_plan: shared.connection_plan,
        max_body: if terms.is_some() { MAX_DEPLOYMENT_BODY } else { MAX_REQUEST_BODY },
        memory: shared.memory.clone(),
        address,
        listener,
        socket,
    }
}

/// Returns what the daemon first tells others about itself.
pub(super) fn initial_record(
    settings: &DaemonSettings,
    addresses: &DaemonAddresses,
) -> MemberRecord {
    MemberRecord {
        host: settings.host.clone(),
        data_centre: settings.data_centre.clone(),
        incarnation: DaemonIncarnation::random(),
        version: 1,
        state: MemberState::Alive,
        guard: settings.advertised_guard_address.unwrap_or(addresses.guard),
        peer: settings.advertised_peer_address.unwrap_or(addresses.peer),
        caller: addresses.caller,
        admin: addresses.admin,
        targets: Vec::new(),
        revision: 0,
        store_lost: false,
    }
}
