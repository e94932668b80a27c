//! Limits and intervals that are the same in all daemons.

use std::time::Duration;

/// Maximum size of a request body that an entry accepts outside of a deployment, in bytes.
///
/// The entry buffers the whole body, so that it can send a refused call to a second target.
pub const MAX_REQUEST_BODY: usize = 1 << 20;

/// Maximum size of the encoded head of a message between two daemons, in bytes.
pub const MAX_HEAD: usize = 64 << 10;

/// Maximum size of the part of an answer that a guard buffers before it forwards any of it, in
/// bytes.
///
/// An answer that breaks off within this part can still be replaced by another.
pub const MAX_BUFFERED_ANSWER: usize = 128 << 10;

/// Maximum size of an answer body that is recorded with the outcome of a call, in bytes.
pub const MAX_RECORDED_BODY: usize = 4 << 10;

/// Maximum length of an idempotency key, in bytes.
pub const MAX_IDEMPOTENCY_KEY: usize = 200;

/// Maximum time to a deadline that a caller may request, in milliseconds.
pub const MAX_DEADLINE_MS: u32 = 120_000;

/// Time to the deadline of a call whose template sets none, in milliseconds.
pub const DEFAULT_DEADLINE_MS: u32 = 2_000;

/// Maximum time in which a sender must complete one request head or body.
pub const SENDER_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of targets that one call may be sent to, including the first.
pub const MAX_ATTEMPTS: u32 = 3;

/// Maximum time for which a guard waits for the table to accept a claim.
pub const CLAIM_TIMEOUT: Duration = Duration::from_millis(800);

/// Time for which a guard keeps the status of a finished or revoked call, as far as its memory
/// suffices.
///
/// Longer than [`MAX_DEADLINE_MS`], so that no late copy of the call arrives after its
/// status is dropped.
pub const LEDGER_RETENTION: Duration = Duration::from_secs(150);

/// Time for which a caller may leave an answer unread that the daemon made itself.
pub const BODY_STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Time after a call's deadline within which its answer must be complete; later, its caller no
/// longer waits for it.
pub const ANSWER_MARGIN: Duration = Duration::from_millis(100);

/// Time for which the rest of an answer that is complete here is still sent after its deadline.
pub const DELIVERY_TIMEOUT: Duration = Duration::from_secs(10);

/// Pause after which what is held for a call is given up while others wait for its memory.
pub const MAX_HELD_PAUSE: Duration = Duration::from_secs(1);

/// Interval at which a wait looks whether memory is short.
pub const SHORTAGE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum size of the part of an answer that is read without memory for long answers, in bytes.
pub const MAX_SHORT_ANSWER: usize = 32 << 10;

/// Time for which a target's heartbeat stays valid without another one, if the platform's terms
/// set none.
pub const TARGET_LEASE: Duration = Duration::from_secs(3);

/// Interval between two gossip probes of one daemon.
pub const GOSSIP_PERIOD: Duration = Duration::from_millis(500);

/// Maximum size of a gossip datagram, in bytes; it fits into one Ethernet frame.
pub const MAX_DATAGRAM: usize = 1_200;

/// Time after which a suspected member that does not answer is declared dead, in gossip
/// periods.
pub const SUSPECT_PERIODS: u32 = 6;

/// Rate at which the whole fleet polls the configuration head, in reads per second.
pub const HEAD_POLLS_PER_S: f64 = 40.0;

/// Minimum and maximum interval between two polls of the configuration head by one daemon.
pub const HEAD_POLL_BOUNDS: (Duration, Duration) =
    (Duration::from_secs(2), Duration::from_secs(30));

/// Maximum wait for one response of the platform's store.
pub const PLATFORM_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Maximum number of claims in one table transaction.
pub const MAX_CLAIM_BATCH: usize = 64;

/// Capacity of a ring buffer between two duties, in messages.
pub const RING_CAPACITY: usize = 512;

/// Time before the deadline at which an entry revokes an unanswered attempt.
///
/// It is long enough to have the revocation confirmed and still answer the caller in time.
pub const REVOKE_MARGIN: Duration = Duration::from_millis(40);

/// Time reserved for a call's work, as a multiple of the average of its route: shared hosts take
/// about a quarter longer, and the times of single calls vary by half.
pub(crate) const WORK_MARGIN: f64 = 1.5;
