//! Which updates a daemon still spreads, and how often each went out.
//!
//! Pure. An update is sent a number of times that grows with the logarithm of
//! the fleet, the least sent first. Hearing it from others counts as well: what
//! everybody knows already needs no further telling. Without that a fleet of
//! 295 that starts at once filled every datagram for minutes (5.4 KB/s of each
//! daemon between data centres half a minute after the start, kernels in virtual
//! time; 0.3 KB/s with it and with gossip that keeps near).

use std::collections::HashMap;

use crate::base::consts::MAX_DATAGRAM;
use crate::base::ids::HostName;
use crate::base::member::MemberRecord;
use crate::base::wire;

/// How often an update is sent, as a multiple of log2 of the fleet's size.
const SPREAD: u32 = 3;

/// Sends that hearing an update from another daemon counts as: who told it goes
/// on telling it, and so do all whom that one told.
pub(super) const HEARD_AS: u32 = 4;

/// Bytes of a datagram that are not updates.
const ENVELOPE: usize = 128;

/// The updates still to be spread, with how often each was sent.
#[derive(Debug)]
pub(super) struct NewsBook {
    sent: HashMap<HostName, u32>,
}

impl NewsBook {
    /// Opens a book with the own record, which nobody knows yet.
    pub(super) fn open(own: &HostName) -> Self {
        Self { sent: HashMap::from([(own.clone(), 0)]) }
    }

    pub(super) fn len(&self) -> usize {
        self.sent.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.sent.is_empty()
    }

    /// Spreads a host's record from the beginning.
    pub(super) fn spread(&mut self, host: &HostName) {
        self.sent.insert(host.clone(), 0);
    }

    /// Spreads a host's record, unless that is under way.
    pub(super) fn keep(&mut self, host: &HostName) {
        self.sent.entry(host.clone()).or_insert(0);
    }

    /// Notes that another daemon told what is known here too.
    pub(super) fn hear_again(&mut self, host: &HostName) {
        if let Some(sent) = self.sent.get_mut(host) {
            *sent += HEARD_AS;
        }
    }

    /// Notes that another daemon knows all that is known here, but perhaps `own`.
    pub(super) fn hear_all_again(&mut self, own: &HostName) {
        for (host, sent) in &mut self.sent {
            if host != own {
                *sent += HEARD_AS;
            }
        }
    }

    pub(super) fn forget(&mut self, host: &HostName) {
        self.sent.remove(host);
    }

    /// Takes as many updates as fit a datagram beside those that it has already, and
    /// `reserved` bytes of something else.
    pub(super) fn fill<'a>(
        &mut self,
        updates: &mut Vec<MemberRecord>,
        fleet: usize,
        reserved: usize,
        find: impl Fn(&HostName) -> Option<&'a MemberRecord>,
    ) {
        let limit = spread_limit(fleet);
        self.sent.retain(|host, sent| *sent < limit && find(host).is_some());
        let mut order: Vec<(u32, HostName)> =
            self.sent.iter().map(|(host, sent)| (*sent, host.clone())).collect();
        order.sort_unstable();
        let used: usize = updates.iter().map(size).sum();
        let mut room = (MAX_DATAGRAM - ENVELOPE).saturating_sub(used + reserved);
        for (sent, host) in order {
            if updates.iter().any(|update| update.host == host) {
                continue;
            }
            let Some(record) = find(&host) else { continue };
            let size = size(record);
            if size > room {
                break;
            }
            room -= size;
            updates.push(record.clone());
            self.sent.insert(host, sent + 1);
        }
    }
}

/// Returns how often an update is sent in a fleet of this size.
pub(super) fn spread_limit(fleet: usize) -> u32 {
    SPREAD * (fleet as u32 + 1).ilog2().max(1)
}

fn size(record: &MemberRecord) -> usize {
    wire::encode(record).map_or(usize::MAX, |bytes| bytes.len())
}
