//! What happens in a run, drawn from its seed before it starts.

use std::time::Duration;

use railspan_standins::{HostedBehaviour, LinkDirection};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::deadly;
use super::places::PlacePlan;

/// Mean time between two troubles, in milliseconds.
const TROUBLE_EVERY_MS: u64 = 450;

/// One in so many troubles comes as a series on the same host.
const SERIES: u32 = 4;

/// Part of a run that has troubles; the rest is recovery.
const TROUBLED_PART: f64 = 0.75;

/// How long a trouble lasts, in milliseconds.
const LASTS_MS: std::ops::Range<u64> = 200..2_500;

/// Which connections of a host a link carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkKind {
    /// Of other daemons' entries to its guard.
    Guard,
    /// Of other daemons' gossip and exchanges.
    Peer,
    /// Of its daemon to the platform's store.
    Store,
    /// Of its guard to its target.
    Target,
}

/// One trouble; `lasts` is when it ends by itself.
#[derive(Clone, Debug)]
pub enum Trouble {
    /// The daemon is killed and started again at once.
    Kill,
    /// All daemons are killed and started again.
    KillAll,
    /// The daemon stands still.
    Freeze,
    /// The daemon is asked to stop, and started again once it ended.
    Stop,
    /// The daemon is told that its settings may have changed.
    HangUp,
    /// A link holds up what passes.
    Delay(LinkKind, u64),
    /// A link lets nothing pass one way.
    Cut(LinkKind, LinkDirection),
    /// All connections of a link are reset.
    Reset(LinkKind),
    /// All connections of a link fall silent for good.
    Silence(LinkKind),
    /// The store refuses everything.
    StoreDown,
    /// The store is slow.
    StoreSlow,
    /// The store does writes and does not answer them.
    StoreLosesAnswers,
    /// The store forgets its history.
    StoreForgets,
    /// The target answers wrongly.
    Mood(HostedBehaviour),
    /// The target's work takes longer.
    SlowTarget,
    /// The target says that it drains, leaves, and another one starts.
    ReplaceTarget,
    /// The target ends without a word, and another one starts.
    CrashTarget,
    /// The operator writes a configuration with one more route.
    Configure,
}

impl Trouble {
    /// Tells whether it keeps a daemon from others or from the store.
    pub const fn harms_links(&self) -> bool {
        matches!(self, Self::Delay(..) | Self::Cut(..) | Self::Reset(_) | Self::Silence(_))
    }
}

/// A trouble, when and where.
#[derive(Clone, Debug)]
pub struct PlannedTrouble {
    pub at: Duration,
    pub lasts: Duration,
    pub host: usize,
    pub trouble: Trouble,
}

/// Everything that happens in a run.
#[derive(Clone, Debug)]
pub struct SoakPlan {
    pub seed: u64,
    pub hosts: usize,
    pub length: Duration,
    /// Whether there is planned work alone, so that nothing may be lost.
    pub calm: bool,
    pub troubles: Vec<PlannedTrouble>,
    pub places: PlacePlan,
    /// Whether copies of a request come that ends each target that runs it.
    pub deadly: bool,
}

impl SoakPlan {
    /// Draws a run; every third seed has planned work alone.
    pub fn draw(seed: u64, hosts: usize, length: Duration) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let calm = seed.is_multiple_of(3);
        let end_ms = length.mul_f64(TROUBLED_PART).as_millis() as u64;
        let mut troubles = Vec::new();
        let mut at_ms = 0;
        loop {
            at_ms += rng.random_range(0..2 * TROUBLE_EVERY_MS);
            if at_ms >= end_ms {
                break;
            }
            let host = rng.random_range(0..hosts);
            let times = if rng.random_ratio(1, SERIES) { rng.random_range(2..4) } else { 1 };
            for step in 0..times {
                let trouble = draw_trouble(&mut rng, calm);
                troubles.push(PlannedTrouble {
                    at: Duration::from_millis(at_ms + step * 120),
                    lasts: Duration::from_millis(rng.random_range(LASTS_MS)),
                    host,
                    trouble,
                });
            }
        }
        troubles.sort_by_key(|planned| planned.at);
        let places = PlacePlan::draw(seed, hosts, length);
        let deadly = seed >= deadly::FIRST_SEED;
        // Where targets end under calls, work is not all planned.
        let calm = calm && !deadly;
        Self { seed, hosts, length, calm, troubles, places, deadly }
    }
}

fn draw_trouble(rng: &mut Pcg64Mcg, calm: bool) -> Trouble {
    if calm {
        return match rng.random_range(0..4) {
            0 => Trouble::Stop,
            1 => Trouble::HangUp,
            2 => Trouble::ReplaceTarget,
            _ => Trouble::Configure,
        };
    }
    match rng.random_range(0..24) {
        0 | 1 => Trouble::Kill,
        2 => Trouble::KillAll,
        3 | 4 => Trouble::Freeze,
        5 | 6 => Trouble::Stop,
        7 => Trouble::HangUp,
        8 | 9 => Trouble::Delay(draw_far_link(rng), rng.random_range(5..300)),
        10..=12 => Trouble::Cut(draw_far_link(rng), draw_way(rng)),
        13 => Trouble::Reset(draw_link(rng)),
        14 | 15 => Trouble::Silence(draw_link(rng)),
        16 => draw_store(rng),
        17..=19 => Trouble::Mood(draw_mood(rng)),
        20 => Trouble::SlowTarget,
        21 => Trouble::ReplaceTarget,
        22 => Trouble::CrashTarget,
        _ => Trouble::Configure,
    }
}

/// Draws a link between hosts; a target is on its daemon's own host, where
/// nothing holds bytes up.
fn draw_far_link(rng: &mut Pcg64Mcg) -> LinkKind {
    let kinds = [LinkKind::Guard, LinkKind::Peer, LinkKind::Store];
    kinds[rng.random_range(0..kinds.len())]
}

fn draw_link(rng: &mut Pcg64Mcg) -> LinkKind {
    let kinds = [LinkKind::Guard, LinkKind::Peer, LinkKind::Store, LinkKind::Target];
    kinds[rng.random_range(0..kinds.len())]
}

fn draw_way(rng: &mut Pcg64Mcg) -> LinkDirection {
    if rng.random() { LinkDirection::Inbound } else { LinkDirection::Outbound }
}

fn draw_store(rng: &mut Pcg64Mcg) -> Trouble {
    match rng.random_range(0..4) {
        0 => Trouble::StoreDown,
        1 => Trouble::StoreSlow,
        2 => Trouble::StoreLosesAnswers,
        _ => Trouble::StoreForgets,
    }
}

fn draw_mood(rng: &mut Pcg64Mcg) -> HostedBehaviour {
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
