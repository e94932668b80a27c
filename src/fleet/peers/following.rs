//! Whether this daemon follows the platform's store, and whether it hears of any other.

use std::rc::Rc;

use slog::info;

use super::PeersDuty;
use crate::base::clock::MicroTime;
use crate::duty::events::{GuardEvent, PlatformEvent};
use crate::fleet::membership::MembershipEvent;

/// Time after which a store that could not be reached is hoped to be back.
const STORE_RETRY: MicroTime = MicroTime::from_millis(10_000);

/// Time without a message of any peer after which a daemon takes itself for alone:
/// three gossip periods.
const SILENCE: MicroTime = MicroTime::from_millis(1_500);

impl PeersDuty {
    /// Follows the store or leaves that to others, as all that is known tells.
    pub(super) fn choose_followers(self: &Rc<Self>, now: MicroTime) {
        if !self.bootstrapped.get() {
            return;
        }
        let retried = now.since(self.store_lost_at.get()) >= STORE_RETRY;
        if retried && self.membership.borrow().own().store_lost {
            self.step(MembershipEvent::StoreLost(false));
        }
        // Who hears nobody can't know who follows.
        let alone = now.since(self.heard.get()) >= SILENCE;
        if alone != self.alone_told.get()
            && self.rings.guard.push(GuardEvent::Isolated(alone)).is_ok()
        {
            self.alone_told.set(alone);
        }
        let membership = self.membership.borrow();
        let changed = self.order_changed.replace(false);
        let in_turn = changed.then_some(|| membership.follows_store());
        let in_turn = self.role.borrow_mut().decide(now, membership.size(), in_turn);
        drop(membership);
        let follows = alone || in_turn;
        if follows != self.follows.get()
            && self.rings.platform.push(PlatformEvent::FollowStore(follows)).is_ok()
        {
            info!(self.logger, "store followed"; "follows" => follows, "alone" => alone,
                "unheard_us" => now.since(self.heard.get()).0);
            self.follows.set(follows);
        }
    }
}
