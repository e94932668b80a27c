//! Selection of the daemons that follow the platform's store for the whole fleet.
//!
//! Each request to the store has a cost, and its reply is the same for all daemons.
//! Therefore only a fixed number of daemons follow the store, whatever the size of the
//! fleet. They keep their member rows there, so that new daemons can find the fleet, and
//! pass on changes by gossip.
//!
//! Each daemon computes the selection from the gossiped member records, so that all of them
//! select the same followers. A follower that can't reach the store reports that in its
//! record, and the next daemon in the order replaces it.
//!
//! Following makes changes known fast; that they are known in time rests on the age of what each
//! daemon knows ([`crate::decide::read_schedule`]), in the same order over all daemons.

use crate::base::clock::MicroTime;
use crate::base::ids::HostName;
use crate::base::member::{MemberRecord, MemberState};

/// Maximum number of daemons that follow the store.
///
/// When three in five daemons fail at once, at least one of ten followers remains in 99 of
/// 100 cases to follow the store until the failures are detected.
pub const MAX_STORE_FOLLOWERS: usize = 10;

/// Growth of the number of known daemons, as a fraction, that shows that a daemon does not
/// know most of the fleet yet.
const GROWTH_THRESHOLD: f64 = 0.1;

/// Time without such growth after which a daemon is taken to know nearly the whole fleet.
const GROWTH_TIMEOUT: MicroTime = MicroTime::from_millis(1_500);

/// Number of daemons of one data centre for each of those that they ask what is known of the store.
const MEMBERS_PER_RELAY: usize = 64;

/// Decides whether a daemon currently follows the store.
///
/// When many daemons start at once, each knows only a few others at first and would select
/// itself among them. Until a daemon knows nearly the whole fleet, it therefore follows the
/// store only if, at its start, the store had its member row or fewer than
/// [`MAX_STORE_FOLLOWERS`] rows.
#[derive(Clone, Copy, Debug, Default)]
pub struct FollowerRole {
    is_bootstrap_follower: bool,
    /// Number of known daemons at the last growth by more than [`GROWTH_THRESHOLD`].
    size_at_growth: usize,
    /// Time of that growth.
    last_growth_at: MicroTime,
    /// Whether nearly the whole fleet is known.
    view_complete: bool,
    /// Whether this daemon was among the selected followers at the last computation.
    is_selected: bool,
}

impl FollowerRole {
    /// Initialises the role from the member rows that the store had when the daemon started.
    pub fn init_from_rows(&mut self, rows: &[MemberRecord], own_record: &MemberRecord) {
        self.is_bootstrap_follower = follows_at_bootstrap(rows, own_record);
    }

    /// Returns whether this daemon follows the store from now on.
    ///
    /// `size` is the number of known daemons, this one included. `is_selected` computes
    /// whether this daemon is among the selected followers; it is `None` if the members have
    /// not changed since the last call.
    pub fn decide(
        &mut self,
        now: MicroTime,
        size: usize,
        is_selected: Option<impl FnOnce() -> bool>,
    ) -> bool {
        if size as f64 > self.size_at_growth as f64 * (1.0 + GROWTH_THRESHOLD) {
            self.size_at_growth = size;
            self.last_growth_at = now;
        }
        self.view_complete |= now.since(self.last_growth_at) >= GROWTH_TIMEOUT;
        if let Some(is_selected) = is_selected {
            self.is_selected = is_selected();
        }
        if self.view_complete { self.is_selected } else { self.is_bootstrap_follower }
    }

    /// Returns whether the position of this daemon among all that are up is known well enough for
    /// it to read the store: at a start, each of many daemons is the first among few others.
    #[must_use]
    pub const fn has_position(&self) -> bool {
        self.view_complete || self.is_bootstrap_follower
    }
}

/// Returns whether a daemon follows the store before it knows the fleet: if the store has
/// too few member rows, or has the daemon's own.
fn follows_at_bootstrap(rows: &[MemberRecord], own_record: &MemberRecord) -> bool {
    let is_own = |row: &MemberRecord| row.host == own_record.host && row.peer == own_record.peer;
    rows.len() < MAX_STORE_FOLLOWERS || rows.iter().any(is_own)
}

/// Returns whether the daemon of `own_host` is one of those that follow the store.
#[must_use]
pub fn follows_store<'a>(
    members: impl Iterator<Item = &'a MemberRecord>,
    own_host: &HostName,
) -> bool {
    let candidates = follower_candidates(members);
    store_rank(candidates.into_iter(), own_host).is_some_and(|rank| rank < MAX_STORE_FOLLOWERS)
}

/// Returns the daemons that follow the store.
#[must_use]
pub fn select_followers<'a>(
    members: impl Iterator<Item = &'a MemberRecord>,
) -> Vec<&'a MemberRecord> {
    let mut candidates = follower_candidates(members);
    candidates.sort_by_cached_key(|member| selection_hash(&member.host));
    candidates.truncate(MAX_STORE_FOLLOWERS);
    candidates
}

/// Returns the daemons that are alive in the order in which they read the store: first those that
/// reach it.
#[must_use]
pub fn read_order<'a>(members: impl Iterator<Item = &'a MemberRecord>) -> Vec<&'a MemberRecord> {
    let mut alive: Vec<&MemberRecord> = members.filter(|member| is_alive(member)).collect();
    alive.sort_by_cached_key(|member| read_order_key(member));
    alive
}

/// Returns the sort key of that order.
fn read_order_key(member: &MemberRecord) -> (bool, [u8; 32]) {
    (member.store_lost, selection_hash(&member.host))
}

/// Returns the position of a daemon in that order, or `None` if it is not alive.
#[must_use]
pub fn store_rank<'a>(
    members: impl Iterator<Item = &'a MemberRecord>,
    own_host: &HostName,
) -> Option<usize> {
    let alive: Vec<&MemberRecord> = members.filter(|member| is_alive(member)).collect();
    let own_member = alive.iter().find(|member| member.host == *own_host)?;
    let own_key = read_order_key(own_member);
    Some(alive.iter().filter(|member| read_order_key(member) < own_key).count())
}

/// Daemons that one daemon asks what they know of the store.
#[derive(Clone, Debug)]
pub struct AskPlan<'a> {
    /// Whether others of its data centre ask this daemon.
    pub is_relay: bool,
    /// Daemons to ask first: those that others of the data centre ask or, for one of these, the
    /// first one that reads the store. Few bytes cross between data centres.
    pub preferred: Vec<&'a MemberRecord>,
    /// All other daemons that are up. One of them may know more while those can't be reached or
    /// can't reach the store.
    pub others: Vec<&'a MemberRecord>,
}

/// Returns whom a daemon asks.
#[must_use]
pub fn ask_plan<'a>(
    members: impl Iterator<Item = &'a MemberRecord>,
    own_record: &MemberRecord,
) -> AskPlan<'a> {
    let order = read_order(members);
    let local = || order.iter().copied().filter(|member| member.is_in(&own_record.data_centre));
    let relay_count = 1 + local().count() / MEMBERS_PER_RELAY;
    let relays: Vec<&MemberRecord> = local().take(relay_count).collect();
    let is_own = |member: &&MemberRecord| member.host == own_record.host;
    let is_relay = relays.iter().any(is_own);
    let mut preferred = if is_relay { Vec::from_iter(order.first().copied()) } else { relays };
    preferred.retain(|member| !is_own(member));
    let mut others = order;
    others.retain(|member| !is_own(member));
    others.retain(|member| preferred.iter().all(|other| other.host != member.host));
    AskPlan { is_relay, preferred, others }
}

/// Returns the daemons from which the followers are selected: those that are alive and reach the
/// store.
fn follower_candidates<'a>(
    members: impl Iterator<Item = &'a MemberRecord>,
) -> Vec<&'a MemberRecord> {
    let alive: Vec<&MemberRecord> = members.filter(|member| is_alive(member)).collect();
    let mut candidates = alive.clone();
    candidates.retain(|member| !member.store_lost);
    // If no daemon reaches the store, the first ones in the order retry it.
    if candidates.is_empty() { alive } else { candidates }
}

fn is_alive(member: &MemberRecord) -> bool {
    member.state == MemberState::Alive
}

/// Returns the sort key of a host: a hash, so that the order depends neither on host names
/// nor on data centres.
fn selection_hash(host: &HostName) -> [u8; 32] {
    *blake3::hash(host.as_str().as_bytes()).as_bytes()
}
