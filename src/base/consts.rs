//! Limits and intervals that every daemon agrees on.

use std::time::Duration;

/// Largest request body an entry accepts, in bytes.
///
/// A body is held whole so that a refused call can go to a second target.
pub const MAX_REQUEST_BODY: usize = 1 << 20;

/// Largest encoded head between two daemons, in bytes.
pub const MAX_HEAD: usize = 64 << 10;

/// Longest start of an answer that a guard reads before it sends any of it on,
/// in bytes: an answer that breaks within it can still be replaced.
pub const MAX_BUFFERED_ANSWER: usize = 128 << 10;

/// Largest answer body that is kept with a recorded outcome, in bytes.
pub const MAX_RECORDED_BODY: usize = 4 << 10;

/// Longest idempotency key, in bytes.
pub const MAX_IDEMPOTENCY_KEY: usize = 200;

/// Longest deadline a caller may ask for, in milliseconds.
pub const MAX_DEADLINE_MS: u32 = 120_000;

/// Deadline of a call whose template names none, in milliseconds.
pub const DEFAULT_DEADLINE_MS: u32 = 2_000;

/// How long a sender may take over one request head or body.
pub const SENDER_TIMEOUT: Duration = Duration::from_secs(10);

/// How many targets one call may try, the first included.
pub const MAX_ATTEMPTS: u32 = 3;

/// How long the guard waits for the table to accept a claim.
pub const CLAIM_TIMEOUT: Duration = Duration::from_millis(800);

/// How long the status of a finished or revoked call is remembered.
///
/// Longer than [`MAX_DEADLINE_MS`], so that no late copy outlives the memory.
pub const LEDGER_RETENTION: Duration = Duration::from_secs(150);

/// How many calls one guard remembers at most.
///
/// Room for 1,300 denied calls a second, four times the mean rate of a target
/// at the size to design for.
pub const LEDGER_CAPACITY: usize = 200_000;

/// Longest pause in a body, from a target or towards a caller.
pub const BODY_STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Time a target's announcement stays valid without a heartbeat.
pub const TARGET_LEASE: Duration = Duration::from_secs(3);

/// Interval between two gossip probes of one daemon.
pub const GOSSIP_PERIOD: Duration = Duration::from_millis(500);

/// Largest gossip datagram, in bytes: fits one Ethernet frame.
pub const MAX_DATAGRAM: usize = 1_200;

/// Time after which an unanswered suspect counts as dead, in gossip periods.
pub const SUSPECT_PERIODS: u32 = 6;

/// Reads of the configuration head that the whole fleet makes, per second.
pub const HEAD_POLLS_PER_S: f64 = 40.0;

/// Shortest and longest interval between two head polls of one daemon.
pub const HEAD_POLL_BOUNDS: (Duration, Duration) =
    (Duration::from_secs(2), Duration::from_secs(30));

/// Longest wait for one answer of the platform.
pub const PLATFORM_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Claims that one table transaction carries at most.
pub const MAX_CLAIM_BATCH: usize = 64;

/// Messages that a ring between two duties holds.
pub const RING_CAPACITY: usize = 512;

/// Part of its budget an attempt leaves for a confirmed revocation.
///
/// The entry revokes this long before the deadline, so that the final answer
/// still leaves in time.
pub const REVOKE_MARGIN: Duration = Duration::from_millis(40);
