//! Which daemons follow the platform's store for the whole fleet.
//!
//! Each call to the store costs, and what it tells is the same for all. So a
//! few daemons follow it, however large the fleet is, keep their rows there so
//! that fresh daemons find the fleet, and pass on what they hear by gossip. All
//! daemons choose the same few from what gossip tells them; one that lost the
//! store says so, and the next in order takes its place.

use crate::base::ids::HostName;
use crate::base::member::{MemberRecord, MemberState};

/// Daemons that follow the store, at most.
///
/// So many that a loss of three in five daemons at once leaves at least one of
/// them in 99 of 100 cases, until the others notice.
pub const FOLLOWERS: usize = 10;

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
    before < FOLLOWERS
}

fn is_sound(member: &MemberRecord) -> bool {
    member.state == MemberState::Alive
}

/// Returns a host's place in an order that follows neither names nor places.
fn order(host: &HostName) -> [u8; 32] {
    *blake3::hash(host.as_str().as_bytes()).as_bytes()
}
