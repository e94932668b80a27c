//! Local and remote members: those in the own data centre, and those in others.

use std::net::SocketAddr;

use super::MembershipState;
use crate::base::ids::HostName;
use crate::base::member::MemberRecord;

impl MembershipState {
    /// Returns whether an address belongs to a daemon known to be in another data centre.
    pub(crate) fn is_remote_peer(&self, peer: SocketAddr) -> bool {
        let mut others = self.members.values();
        let known = others.find(|known| known.record.peer == peer);
        known.is_some_and(|known| !known.record.is_in(&self.own_record.data_centre))
    }

    /// Returns the number of daemons of the own data centre that are up, this one included.
    pub(super) fn local_size(&self) -> usize {
        self.local_others + 1
    }

    /// Returns whether a host is known to be in another data centre.
    pub(super) fn is_remote_host(&self, host: &HostName) -> bool {
        let known = self.members.get(host);
        known.is_some_and(|known| !known.record.is_in(&self.own_record.data_centre))
    }

    /// Returns whether a record is of a daemon in the own data centre that is up.
    pub(super) fn is_local_and_up(&self, record: &MemberRecord) -> bool {
        record.is_up() && record.is_in(&self.own_record.data_centre)
    }
}
