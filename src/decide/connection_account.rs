//! Decides which connections a listener keeps when it has more than its share of memory or of
//! descriptors suffices for.
//!
//! Connections that wait for nothing of ours make way first: those that are being closed, then idle
//! ones and those with half a request, then those whose peer leaves an answer unread. Among equals,
//! the one that made no progress for the longest time goes, so that a crowd displaces itself and not
//! a request that has just begun. A connection whose request is being served is never closed.

use std::collections::{BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

use crate::base::clock::MicroTime;

/// Progress within this time of the last recorded one is not recorded again.
const PROGRESS_RESOLUTION: MicroTime = MicroTime::from_millis(5);

/// Time for which a new connection goes after all others of its rank: its first bytes may have
/// arrived, but this process has not come to read them.
const NEW_CONNECTION_GRACE: MicroTime = MicroTime::from_millis(200);

/// Time for which a connection on which a part of a body has just arrived goes after others of its
/// rank that have made progress as late: as long as a new one, so that neither displaces the other.
const BODY_GRACE: MicroTime = NEW_CONNECTION_GRACE;

/// Time after which a peer that takes nothing of its answer counts as not reading.
const MIN_UNREAD_PAUSE: MicroTime = MicroTime::from_millis(20);

/// Number of a connection within one [`ConnectionAccount`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionNumber(pub u64);

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// Its last answer was sent, and the peer may still read it.
    Closing,
    /// For a request, or the rest of its head.
    Waiting,
    /// For the rest of a body.
    Receiving,
    /// For its peer to read an answer.
    Answering,
    /// For a target or for this daemon.
    Serving,
}

/// Order in which connections make way, by their state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionRank {
    Closing,
    /// The peer has not sent all of its request.
    Incomplete,
    Unread,
    Serving,
}

impl ConnectionState {
    const fn grace(self) -> MicroTime {
        match self {
            Self::Receiving => BODY_GRACE,
            _ => MicroTime(0),
        }
    }

    const fn rank(self) -> EvictionRank {
        match self {
            Self::Closing => EvictionRank::Closing,
            Self::Waiting | Self::Receiving => EvictionRank::Incomplete,
            Self::Answering => EvictionRank::Unread,
            Self::Serving => EvictionRank::Serving,
        }
    }
}

/// Limits of the connections of one listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Maximum number of connections.
    pub connections: usize,
    /// Maximum memory of all of them, in bytes.
    pub bytes: u64,
}

/// Use of a listener's share, as operators see it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConnectionUse {
    /// Number of connections.
    pub connections: usize,
    /// Maximum number of connections.
    pub max_connections: usize,
    /// What they may hold, in bytes.
    pub held_bytes: u64,
    /// Limit of that, in bytes.
    pub limit_bytes: u64,
    /// Connections closed so far since others needed their share.
    pub evicted: u64,
}

impl ConnectionUse {
    /// Returns whether less than an eighth of the share is left.
    #[must_use]
    pub const fn is_nearly_full(&self) -> bool {
        let is_full = self.connections >= self.max_connections - self.max_connections / 8;
        let is_held = self.held_bytes >= self.limit_bytes - self.limit_bytes / 8;
        self.max_connections > 0 && (is_full || is_held)
    }
}

#[derive(Clone, Copy, Debug)]
struct OpenConnection {
    state: ConnectionState,
    /// Time at which the state or, within it, the progress last changed, with the grace that the
    /// connection has from then on.
    progress_at: MicroTime,
    /// What the connection may hold, in bytes.
    cost: u64,
}

/// Share of one listener in the memory and the descriptors of a process.
///
/// Invariants: `held` is the sum of all costs, and within the limit unless all connections that
/// are left are being served; `order` has exactly the open connections.
#[derive(Debug)]
pub struct ConnectionAccount {
    limits: ConnectionLimits,
    held: u64,
    next_number: u64,
    evicted: u64,
    connections: HashMap<ConnectionNumber, OpenConnection>,
    /// All connections, those that make way first at the front.
    order: BTreeSet<(EvictionRank, MicroTime, ConnectionNumber)>,
}

impl ConnectionAccount {
    /// Creates an account without connections.
    #[must_use]
    pub fn open(limits: ConnectionLimits) -> Self {
        Self {
            limits,
            held: 0,
            next_number: 0,
            evicted: 0,
            connections: HashMap::new(),
            order: BTreeSet::new(),
        }
    }

    /// Adds a connection that may hold `cost` bytes. Those in `evicted` make way for it; `None` if
    /// none can, and the connection has to wait.
    pub fn add(
        &mut self,
        now: MicroTime,
        cost: u64,
        evicted: &mut Vec<ConnectionNumber>,
    ) -> Option<ConnectionNumber> {
        if !self.make_room(now, 1, cost, None, evicted) {
            return None;
        }
        let number = ConnectionNumber(self.next_number);
        self.next_number += 1;
        let (state, progress_at) = (ConnectionState::Waiting, now + NEW_CONNECTION_GRACE);
        self.connections.insert(number, OpenConnection { state, progress_at, cost });
        self.order.insert((state.rank(), progress_at, number));
        self.held += cost;
        Some(number)
    }

    /// Changes what a connection may hold; those in `evicted` make way for it. Returns whether
    /// there is memory for it; it never lacks any to hold less.
    pub fn resize(
        &mut self,
        now: MicroTime,
        number: ConnectionNumber,
        cost: u64,
        evicted: &mut Vec<ConnectionNumber>,
    ) -> bool {
        let Some(connection) = self.connections.get(&number) else { return false };
        let added = cost.saturating_sub(connection.cost);
        if added > 0 && !self.make_room(now, 0, added, Some(number), evicted) {
            return false;
        }
        let Some(connection) = self.connections.get_mut(&number) else { return false };
        self.held = self.held - connection.cost + cost;
        connection.cost = cost;
        true
    }

    /// Takes more memory for a connection only if some is free; returns whether it was.
    pub fn grow_if_free(&mut self, number: ConnectionNumber, bytes: u64) -> bool {
        let Some(connection) = self.connections.get_mut(&number) else { return false };
        // Leaves half of the memory to connections that need it to be accepted.
        if self.held + bytes > self.limits.bytes / 2 {
            return false;
        }
        connection.cost += bytes;
        self.held += bytes;
        true
    }

    /// Records what a connection waits for from now on.
    pub fn set_state(&mut self, now: MicroTime, number: ConnectionNumber, state: ConnectionState) {
        let Some(connection) = self.connections.get_mut(&number) else { return };
        self.order.remove(&(connection.state.rank(), connection.progress_at, number));
        (connection.state, connection.progress_at) = (state, now + state.grace());
        self.order.insert((state.rank(), connection.progress_at, number));
    }

    /// Records that bytes arrived from a connection's peer or were taken by it.
    pub fn note_progress(&mut self, now: MicroTime, number: ConnectionNumber) {
        let Some(connection) = self.connections.get(&number) else { return };
        let progress_at = now + connection.state.grace();
        let is_new = connection.progress_at > progress_at;
        if is_new || progress_at.since(connection.progress_at) >= PROGRESS_RESOLUTION {
            self.set_state(now, number, connection.state);
        }
    }

    /// Removes a connection that was closed.
    pub fn remove(&mut self, number: ConnectionNumber) {
        if let Some(connection) = self.connections.remove(&number) {
            self.order.remove(&(connection.state.rank(), connection.progress_at, number));
            self.held -= connection.cost;
        }
    }

    /// Removes the connection that makes way first; `None` if none does.
    pub fn evict_one(&mut self, now: MicroTime) -> Option<ConnectionNumber> {
        self.evict(now, None)
    }

    /// Returns limits and current use.
    #[must_use]
    pub fn memory_use(&self) -> ConnectionUse {
        ConnectionUse {
            connections: self.connections.len(),
            max_connections: self.limits.connections,
            held_bytes: self.held,
            limit_bytes: self.limits.bytes,
            evicted: self.evicted,
        }
    }

    /// Evicts connections until there is room; returns whether there is. `kept` is not evicted.
    fn make_room(
        &mut self,
        now: MicroTime,
        connections: usize,
        bytes: u64,
        kept: Option<ConnectionNumber>,
        evicted: &mut Vec<ConnectionNumber>,
    ) -> bool {
        loop {
            let fits = self.connections.len() + connections <= self.limits.connections
                && self.held + bytes <= self.limits.bytes;
            if fits {
                return true;
            }
            match self.evict(now, kept) {
                Some(number) => evicted.push(number),
                None => return false,
            }
        }
    }

    fn evict(
        &mut self,
        now: MicroTime,
        kept: Option<ConnectionNumber>,
    ) -> Option<ConnectionNumber> {
        let victim = [
            (EvictionRank::Closing, MicroTime(0)),
            (EvictionRank::Incomplete, MicroTime(0)),
            (EvictionRank::Unread, MIN_UNREAD_PAUSE),
        ]
        .into_iter()
        .find_map(|(rank, pause)| self.longest_without_progress(now, rank, pause, kept))?;
        self.remove(victim);
        self.evicted += 1;
        Some(victim)
    }

    /// Returns the connection of a rank that has made no progress for the longest time, if that is
    /// at least `pause`.
    fn longest_without_progress(
        &self,
        now: MicroTime,
        rank: EvictionRank,
        pause: MicroTime,
        kept: Option<ConnectionNumber>,
    ) -> Option<ConnectionNumber> {
        let first = (rank, MicroTime(0), ConnectionNumber(0));
        let last = (rank, MicroTime(u64::MAX), ConnectionNumber(u64::MAX));
        let mut of_rank = self.order.range(first..=last);
        let (_, progress_at, number) = of_rank.find(|(_, _, number)| Some(*number) != kept)?;
        (now.since(*progress_at) >= pause).then_some(*number)
    }
}
