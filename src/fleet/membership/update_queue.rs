//! Queue of the updates that a daemon piggybacks on its messages.
//!
//! Each change has to reach each daemon, whatever the size of the fleet. Within a data
//! centre, an update is sent a number of times that grows with the logarithm of the fleet's
//! size; the updates sent least often go first. Receiving the same update from other daemons
//! counts as well, since an update that is widely known needs no more messages.
//!
//! To other data centres, a daemon sends only records of its own data centre, and records
//! of unresponsive members elsewhere. All daemons of a data centre together send an update
//! a fixed number of times, whatever their number.

use std::collections::HashMap;

use crate::base::consts::MAX_DATAGRAM;
use crate::base::ids::HostName;
use crate::base::member::{MemberRecord, MemberState};
use crate::base::wire;

/// Number of times that an update is sent, as a multiple of log2 of the fleet's size.
const SENDS_PER_DOUBLING: u32 = 3;

/// Number of times that all daemons of a data centre together send an update to others.
const REMOTE_SENDS_PER_CENTRE: f64 = 64.0;

/// Number of sends that receiving a known update from another daemon counts as: that daemon
/// and all that got it from there go on sending it.
pub(super) const SENDS_PER_RECEIPT: u32 = 4;

/// Bytes of a datagram that are reserved for fields other than updates.
const ENVELOPE_BYTES: usize = 128;

/// Number of times that an update was sent within the data centre and to other ones.
#[derive(Clone, Copy, Debug, Default)]
struct SendCount {
    local: u32,
    remote: u32,
}

/// The hosts whose records are still to be sent, with the number of times sent.
#[derive(Debug)]
pub(super) struct UpdateQueue {
    own_host: HostName,
    send_counts: HashMap<HostName, SendCount>,
}

/// Limits for filling a message with updates.
#[derive(Debug)]
pub(super) struct MessageBudget {
    /// Number of daemons in the fleet.
    pub(super) fleet_size: usize,
    /// Number of daemons in the own data centre that are up, this one included.
    pub(super) local_size: usize,
    /// Bytes of the datagram that other fields take.
    pub(super) reserved_bytes: usize,
    /// Whether the message goes to another data centre.
    pub(super) is_remote: bool,
}

impl UpdateQueue {
    /// Creates a queue with the own record, which no other daemon knows yet.
    pub(super) fn open(own_host: &HostName) -> Self {
        let send_counts = HashMap::from([(own_host.clone(), SendCount::default())]);
        Self { own_host: own_host.clone(), send_counts }
    }

    /// Returns the number of updates that are still to be sent in the own data centre, in a
    /// fleet of this size.
    pub(super) fn pending_count(&self, fleet_size: usize) -> usize {
        let limit = spread_limit(fleet_size);
        self.send_counts.values().filter(|sent| sent.local < limit).count()
    }

    /// Queues a host's record that has changed; it counts as never sent.
    pub(super) fn enqueue(&mut self, host: &HostName) {
        self.send_counts.insert(host.clone(), SendCount::default());
    }

    /// Counts a record that another daemon sent and that was already known.
    pub(super) fn count_receipt(&mut self, host: &HostName) {
        if let Some(sent) = self.send_counts.get_mut(host) {
            sent.local += SENDS_PER_RECEIPT;
        }
    }

    /// Counts all records as received after a full exchange, except the own, which the other
    /// daemon may not have.
    pub(super) fn count_full_receipt(&mut self) {
        for (host, sent) in &mut self.send_counts {
            if *host != self.own_host {
                sent.local += SENDS_PER_RECEIPT;
            }
        }
    }

    /// Stops sending a host's record.
    pub(super) fn remove(&mut self, host: &HostName) {
        self.send_counts.remove(host);
    }

    /// Adds as many updates to a message as fit beside the ones that it already has.
    ///
    /// `lookup` returns the record of a host and whether it is in the own data centre.
    pub(super) fn fill<'a>(
        &mut self,
        updates: &mut Vec<MemberRecord>,
        budget: &MessageBudget,
        lookup: impl Fn(&HostName) -> Option<(&'a MemberRecord, bool)>,
    ) {
        let limit = spread_limit(budget.fleet_size);
        let own_host = self.own_host.clone();
        let local_sends_left = |sent: &SendCount| sent.local < limit;
        let remote_sends_left = |host: &HostName, sent: &SendCount| {
            let record =
                lookup(host).filter(|(record, is_local)| *is_local || is_unresponsive(record));
            record.is_some_and(|(record, _)| {
                sent.remote < remote_send_limit(&own_host, record, budget.local_size)
            })
        };
        self.send_counts.retain(|host, sent| {
            lookup(host).is_some() && (local_sends_left(sent) || remote_sends_left(host, sent))
        });
        let has_sends_left = |host: &HostName, sent: &SendCount| {
            if budget.is_remote { remote_sends_left(host, sent) } else { local_sends_left(sent) }
        };
        let mut candidates: Vec<(u32, HostName)> = self
            .send_counts
            .iter()
            .filter(|(host, sent)| has_sends_left(host, sent))
            .map(|(host, sent)| {
                (if budget.is_remote { sent.remote } else { sent.local }, host.clone())
            })
            .collect();
        candidates.sort_unstable();
        let used: usize = updates.iter().map(encoded_size).sum();
        let mut bytes_left =
            (MAX_DATAGRAM - ENVELOPE_BYTES).saturating_sub(used + budget.reserved_bytes);
        for (_, host) in candidates {
            if updates.iter().any(|update| update.host == host) {
                continue;
            }
            let Some((record, _)) = lookup(&host) else { continue };
            let size = encoded_size(record);
            if size > bytes_left {
                break;
            }
            bytes_left -= size;
            updates.push(record.clone());
            if let Some(sent) = self.send_counts.get_mut(&host) {
                let count = if budget.is_remote { &mut sent.remote } else { &mut sent.local };
                *count += 1;
            }
        }
    }
}

/// Returns whether a daemon is suspected or dead, and so can't spread its record itself.
fn is_unresponsive(record: &MemberRecord) -> bool {
    matches!(record.state, MemberState::Suspect | MemberState::Dead)
}

/// Returns the number of times that an update is sent in a fleet of this size.
pub(super) fn spread_limit(fleet_size: usize) -> u32 {
    SENDS_PER_DOUBLING * (fleet_size as u32 + 1).ilog2().max(1)
}

/// Returns the number of times that this daemon sends an update to other data centres: its
/// share of [`REMOTE_SENDS_PER_CENTRE`].
///
/// If the share is not a whole number, a hash of daemon and update decides whether it is
/// rounded up, so that different daemons send different updates.
fn remote_send_limit(own_host: &HostName, record: &MemberRecord, local_size: usize) -> u32 {
    let share = REMOTE_SENDS_PER_CENTRE / local_size.max(1) as f64;
    let mut hasher = blake3::Hasher::new();
    for text in [own_host.as_str(), record.host.as_str()] {
        hasher.update(text.as_bytes());
    }
    hasher.update(&record.version.to_le_bytes());
    hasher.update(&[record.state as u8]);
    let fraction = f64::from(hasher.finalize().as_bytes()[0]) / 256.0;
    (share + 1.0 - fraction) as u32
}

fn encoded_size(record: &MemberRecord) -> usize {
    wire::encode(record).map_or(usize::MAX, |bytes| bytes.len())
}
