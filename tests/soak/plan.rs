//! The events of a run, all drawn from its seed before it starts.

use std::time::Duration;

use railspan_standins::{HostedBehaviour, LinkDirection};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::account_events::{self, RevocationPlan};
use super::broken_answers;
use super::capacity_events::CapacityPlan;
use super::config_events::ConfigPlan;
use super::crash_requests;
use super::crowd_events::CrowdEvents;
use super::held_events::HeldPlan;
use super::statement_events::{self, PlannedStatement};

/// Mean time between two draws, in milliseconds.
const MEAN_INTERVAL_MS: u64 = 450;

/// One in this many draws gives a series of two or three disruptions of the same host.
const SERIES_ODDS: u32 = 4;

/// Share of a run in which disruptions start; the rest is for recovery.
const DISRUPTED_SHARE: f64 = 0.75;

/// Duration of a disruption, in milliseconds.
const DURATION_MS: std::ops::Range<u64> = 200..2_500;

/// Which traffic of a host a link carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkKind {
    /// Calls from the entries of other daemons to its guard.
    Guard,
    /// Gossip and full exchanges from other daemons.
    Peer,
    /// Requests of its daemon to the platform's store.
    Store,
    /// Calls from its guard to its target.
    Target,
}

/// A fault or a planned operation.
///
/// Those that last end after [`PlannedDisruption::duration`].
#[derive(Clone, Debug)]
pub enum Disruption {
    /// The daemon is killed and restarted at once.
    Kill,
    /// All daemons are killed and restarted at once.
    KillAll,
    /// The daemon process is suspended.
    Freeze,
    /// The daemon is asked to stop, and restarted once it has exited.
    Stop,
    /// The daemon is signalled to reload its settings.
    ReloadSettings,
    /// A link delays all traffic by this many milliseconds.
    Delay(LinkKind, u64),
    /// A link passes nothing in one direction.
    Cut(LinkKind, LinkDirection),
    /// All open connections of a link are reset.
    Reset(LinkKind),
    /// A link drops everything on the connections that are open now, for good.
    Silence(LinkKind),
    /// The store refuses all requests.
    StoreDown,
    /// The store is slow.
    StoreSlow,
    /// The store applies writes without answering them.
    StoreLosesAnswers,
    /// The store loses its history of changes.
    StoreLosesHistory,
    /// The target answers incorrectly.
    TargetMisbehaves(HostedBehaviour),
    /// The target takes longer to process requests.
    SlowTarget,
    /// The target announces its drain, leaves, and is replaced by another one.
    ReplaceTarget,
    /// The target crashes, and is replaced by another one.
    CrashTarget,
    /// The operator publishes a configuration with one more route.
    ChangeConfig,
}

impl Disruption {
    /// Whether it impairs the connections of a daemon to other daemons, the store or
    /// the target.
    pub const fn affects_links(&self) -> bool {
        matches!(self, Self::Delay(..) | Self::Cut(..) | Self::Reset(_) | Self::Silence(_))
    }
}

/// A disruption with its start, duration and host.
#[derive(Clone, Debug)]
pub struct PlannedDisruption {
    /// Start, counted from the start of the run.
    pub at: Duration,
    pub duration: Duration,
    pub host: usize,
    pub disruption: Disruption,
}

impl PlannedDisruption {
    /// Whether it ends a daemon that must go on.
    fn ends_protected(&self, revocations: &RevocationPlan) -> bool {
        match self.disruption {
            Disruption::Kill | Disruption::Stop => revocations.protects(self.host, self.at),
            Disruption::KillAll => {
                revocations.isolation.is_some_and(|(host, _)| revocations.protects(host, self.at))
            }
            _ => false,
        }
    }
}

/// All events of a run.
#[derive(Clone, Debug)]
pub struct SoakPlan {
    pub seed: u64,
    pub hosts: usize,
    pub duration: Duration,
    /// Whether the run has planned operations only, so that no request may be lost.
    pub planned_only: bool,
    pub disruptions: Vec<PlannedDisruption>,
    pub capacity: CapacityPlan,
    pub statements: Vec<PlannedStatement>,
    pub revocations: RevocationPlan,
    pub held: HeldPlan,
    /// Crowds of clients that don't behave.
    pub crowds: CrowdEvents,
    /// Changes of the configuration beside faults of the store.
    pub config: ConfigPlan,
    /// Whether clients also send copies of a request that crashes each target that runs it.
    pub sends_crash_requests: bool,
}

impl SoakPlan {
    /// Draws a run; every third seed has planned operations only.
    pub fn draw(seed: u64, hosts: usize, duration: Duration) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let config = ConfigPlan::draw(seed, hosts, duration);
        let planned_only = seed.is_multiple_of(3) && !config.is_active();
        let end_ms = duration.mul_f64(DISRUPTED_SHARE).as_millis() as u64;
        let mut disruptions = Vec::new();
        let mut at_ms = 0;
        loop {
            at_ms += rng.random_range(0..2 * MEAN_INTERVAL_MS);
            if at_ms >= end_ms {
                break;
            }
            let host = rng.random_range(0..hosts);
            let series_length =
                if rng.random_ratio(1, SERIES_ODDS) { rng.random_range(2..4) } else { 1 };
            for step in 0..series_length {
                let disruption = draw_disruption(&mut rng, planned_only);
                disruptions.push(PlannedDisruption {
                    at: Duration::from_millis(at_ms + step * 120),
                    duration: Duration::from_millis(rng.random_range(DURATION_MS)),
                    host,
                    disruption,
                });
            }
        }
        disruptions.retain(|_planned| config.keeps(&mut rng));
        disruptions.sort_by_key(|planned| planned.at);
        broken_answers::replace(seed, &mut disruptions);
        let mut capacity = CapacityPlan::draw(seed, hosts, duration);
        let revocations = account_events::draw(seed, hosts, duration, planned_only);
        if revocations.isolation.is_some() {
            // An isolated host can't learn of an evacuation within the bound of its check.
            capacity.evacuations.clear();
        }
        disruptions.retain(|planned| !planned.ends_protected(&revocations));
        let mut statements = statement_events::draw(seed, hosts, duration, planned_only);
        for statement in &mut statements {
            statement.kills_guard &= !revocations.protects(statement.host, statement.kill_at());
        }
        let sends_crash_requests =
            (crash_requests::FIRST_SEED..statement_events::FIRST_SEED).contains(&seed);
        // Targets that crash while they run a request are not a planned operation.
        let planned_only = planned_only && !sends_crash_requests;
        Self {
            seed,
            hosts,
            duration,
            planned_only,
            disruptions,
            capacity,
            statements,
            revocations,
            held: HeldPlan::draw(seed, hosts, duration),
            crowds: CrowdEvents::draw(seed, hosts, duration),
            config,
            sends_crash_requests,
        }
    }
}

fn draw_disruption(rng: &mut Pcg64Mcg, planned_only: bool) -> Disruption {
    if planned_only {
        return match rng.random_range(0..4) {
            0 => Disruption::Stop,
            1 => Disruption::ReloadSettings,
            2 => Disruption::ReplaceTarget,
            _ => Disruption::ChangeConfig,
        };
    }
    match rng.random_range(0..24) {
        0 | 1 => Disruption::Kill,
        2 => Disruption::KillAll,
        3 | 4 => Disruption::Freeze,
        5 | 6 => Disruption::Stop,
        7 => Disruption::ReloadSettings,
        8 | 9 => Disruption::Delay(draw_inter_host_link(rng), rng.random_range(5..300)),
        10..=12 => Disruption::Cut(draw_inter_host_link(rng), draw_direction(rng)),
        13 => Disruption::Reset(draw_link(rng)),
        14 | 15 => Disruption::Silence(draw_link(rng)),
        16 => draw_store_fault(rng),
        17..=19 => Disruption::TargetMisbehaves(draw_misbehaviour(rng)),
        20 => Disruption::SlowTarget,
        21 => Disruption::ReplaceTarget,
        22 => Disruption::CrashTarget,
        _ => Disruption::ChangeConfig,
    }
}

/// Draws a link between hosts: all but that to the target, which runs on the same host as
/// its daemon, where traffic is neither delayed nor cut.
fn draw_inter_host_link(rng: &mut Pcg64Mcg) -> LinkKind {
    let kinds = [LinkKind::Guard, LinkKind::Peer, LinkKind::Store];
    kinds[rng.random_range(0..kinds.len())]
}

fn draw_link(rng: &mut Pcg64Mcg) -> LinkKind {
    let kinds = [LinkKind::Guard, LinkKind::Peer, LinkKind::Store, LinkKind::Target];
    kinds[rng.random_range(0..kinds.len())]
}

fn draw_direction(rng: &mut Pcg64Mcg) -> LinkDirection {
    if rng.random() { LinkDirection::Inbound } else { LinkDirection::Outbound }
}

fn draw_store_fault(rng: &mut Pcg64Mcg) -> Disruption {
    match rng.random_range(0..4) {
        0 => Disruption::StoreDown,
        1 => Disruption::StoreSlow,
        2 => Disruption::StoreLosesAnswers,
        _ => Disruption::StoreLosesHistory,
    }
}

fn draw_misbehaviour(rng: &mut Pcg64Mcg) -> HostedBehaviour {
    let moods = [
        HostedBehaviour::LoseResponse,
        HostedBehaviour::ForeignRequestId,
        HostedBehaviour::Unsigned,
        HostedBehaviour::Decline,
        HostedBehaviour::Truncate,
        HostedBehaviour::DuplicateResponse,
        HostedBehaviour::ServerError,
    ];
    moods[rng.random_range(0..moods.len())].clone()
}
