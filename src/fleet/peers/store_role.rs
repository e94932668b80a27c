//! Decides whether this daemon follows the platform's store, and whether it is isolated from
//! all others.

use std::rc::Rc;

use slog::info;

use super::PeersDuty;
use crate::base::clock::MicroTime;
use crate::duty::events::{GuardEvent, PlatformEvent, StoreRole};
use crate::fleet::membership::MembershipEvent;

/// Time after which an unreachable store is considered reachable again, so that the daemon
/// may be selected as a follower and retry.
const STORE_RETRY_INTERVAL: MicroTime = MicroTime::from_millis(10_000);

/// Time without a message from any peer after which a daemon considers itself isolated:
/// three gossip periods.
const ISOLATION_TIMEOUT: MicroTime = MicroTime::from_millis(1_500);

impl PeersDuty {
    /// Starts or stops following the store, depending on the known members.
    pub(super) fn update_store_role(self: &Rc<Self>, now: MicroTime) {
        if !self.bootstrapped.get() {
            return;
        }
        let retry_due = now.since(self.store_lost_changed_at.get()) >= STORE_RETRY_INTERVAL;
        if retry_due && self.membership.borrow().own_record().store_lost {
            self.step(MembershipEvent::StoreLost(false));
        }
        // An isolated daemon can't know which daemons follow the store, so it follows the
        // store itself.
        let isolated = now.since(self.last_message_at.get()) >= ISOLATION_TIMEOUT;
        if isolated != self.reported_isolated.get()
            && self.rings.guard.push(GuardEvent::Isolated(isolated)).is_ok()
        {
            self.reported_isolated.set(isolated);
        }
        let membership = self.membership.borrow();
        let is_outdated = self.selection_outdated.replace(false);
        if is_outdated {
            self.store_rank.set(membership.store_rank());
        }
        let is_selected = is_outdated.then_some(|| membership.follows_store());
        let mut follower_role = self.follower_role.borrow_mut();
        let is_selected = follower_role.decide(now, membership.size(), is_selected);
        let rank = self.store_rank.get().filter(|_rank| follower_role.has_position());
        drop((membership, follower_role));
        let follows = isolated || is_selected;
        let role = StoreRole { follows, rank };
        let earlier = self.store_role.get();
        if role == earlier || self.rings.platform.push(PlatformEvent::StoreRole(role)).is_err() {
            return;
        }
        self.store_role.set(role);
        if follows != earlier.follows {
            info!(self.logger, "store follower role changed"; "follows" => follows,
                "rank" => rank, "alone" => isolated,
                "unheard_us" => now.since(self.last_message_at.get()).0,
                "store_lost" => self.membership.borrow().own_record().store_lost);
        }
    }
}
