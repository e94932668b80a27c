//! Which daemons follow the platform's store for the whole fleet.
//!
//! Each call to the store costs, and what it tells is the same for all. So a
//! few daemons follow it, however large the fleet is, keep their rows there so
//! that fresh daemons find the fleet, and pass on what they hear by gossip. All
//! daemons choose the same few from what gossip tells them; one that lost the
//! store says so, and the next in order takes its place.

use crate::base::clock::MicroTime;
use crate::base::ids::HostName;
use crate::base::member::{MemberRecord, MemberState};

/// Daemons that follow the store, at most.
///
/// So many that a loss of three in five daemons at once leaves at least one of
/// them in 99 of 100 cases, until the others notice.
pub const MAX_STORE_FOLLOWERS: usize = 10;

/// Growth of what a daemon knows of the fleet that shows that it does not know most of it
/// yet, as a part of what it knows.
const GROWTH: f64 = 0.1;

/// Time without such growth after which a daemon knows nearly all.
const GROWTH_ENDS: MicroTime = MicroTime::from_millis(1_500);

/// Whether a daemon follows the store now.
///
/// Answers load in which many daemons start at once: each of them knows few of the others
/// at first, and of few anybody is among the first. Until a daemon knows nearly all, those
/// follow that the store's rows name, or that found too few rows there.
#[derive(Clone, Copy, Debug, Default)]
pub struct FollowerRole {
    founder: bool,
    /// Daemons that were known when it was last seen that many more are known.
    size: usize,
    grown: MicroTime,
    settled: bool,
    in_turn: bool,
}

impl FollowerRole {
    /// Notes the rows that the store had at the start.
    pub fn read_rows(&mut self, rows: &[MemberRecord], own: &MemberRecord) {
        self.founder = is_founder(rows, own);
    }

    /// Decides whether to follow, as `size` daemons are known; `in_turn` tells whether
    /// this one is among the first of them, where that may have changed.
    pub fn decide(
        &mut self,
        now: MicroTime,
        size: usize,
        in_turn: Option<impl FnOnce() -> bool>,
    ) -> bool {
        if size as f64 > self.size as f64 * (1.0 + GROWTH) {
            self.size = size;
            self.grown = now;
        }
        self.settled |= now.since(self.grown) >= GROWTH_ENDS;
        if let Some(in_turn) = in_turn {
            self.in_turn = in_turn();
        }
        if self.settled { self.in_turn } else { self.founder }
    }
}

/// Tells whether a daemon follows the store before it knows the fleet: one that finds
/// fewer rows of others there than are wanted, or its own.
fn is_founder(rows: &[MemberRecord], own: &MemberRecord) -> bool {
    let same = |row: &MemberRecord| row.host == own.host && row.peer == own.peer;
    rows.len() < MAX_STORE_FOLLOWERS || rows.iter().any(same)
}

/// Tells whether a daemon is one of those that follow the store.
#[must_use]
pub fn follows_store<'a>(members: impl Iterator<Item = &'a MemberRecord>, own: &HostName) -> bool {
    let sound: Vec<&MemberRecord> = members.filter(|member| is_sound(member)).collect();
    let mut candidates = sound.clone();
    candidates.retain(|member| !member.store_lost);
    if candidates.is_empty() {
        // Nobody reaches the store: the first of all find out when it is back.
        candidates = sound;
    }
    let Some(me) = candidates.iter().find(|member| member.host == *own) else { return false };
    let mine = order(&me.host);
    let before = candidates.iter().filter(|member| order(&member.host) < mine).count();
    before < MAX_STORE_FOLLOWERS
}

fn is_sound(member: &MemberRecord) -> bool {
    member.state == MemberState::Alive
}

/// Returns a host's place in an order that follows neither names nor places.
fn order(host: &HostName) -> [u8; 32] {
    *blake3::hash(host.as_str().as_bytes()).as_bytes()
}
