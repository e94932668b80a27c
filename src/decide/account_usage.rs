//! Use of a target by client accounts, relative to their shares.
//!
//! The use of an account is the mean number of slots that its calls held lately, with
//! exponential decay, plus the number that they hold now. It is compared with the account's
//! part of all recent use, which is proportional to its share. The result is a coarse level, so
//! that accounts of about the same use are ordered by other criteria.

use lru::LruCache;
use serde_json::{Value, json};

use crate::base::clock::MicroTime;
use crate::base::ids::AccountName;

/// Maximum number of accounts that are tracked at one target.
pub const MAX_TRACKED_ACCOUNTS: usize = 10_000;

/// Time after which a slot that was held counts half.
const HALF_LIFE: MicroTime = MicroTime::from_millis(2_000);

/// Time without a call after which an account is no longer tracked: ten half-lives, when its
/// earlier use is negligible.
const IDLE_RETENTION: MicroTime = MicroTime::from_millis(20_000);

/// Time for which a known use of a quota counts: some replies of the quota's holder, which come
/// several times a second while an account makes requests.
const QUOTA_USE_RETENTION: MicroTime = MicroTime::from_millis(5_000);

/// Number of the least recently used accounts among which the one with the least use is
/// evicted, so that a flood of other accounts doesn't hide one that is far over its share.
const EVICTION_CANDIDATES: usize = 16;

/// Ratio of two uses that differ by one level. A smaller one would order accounts by the
/// random variation of their calls.
const LEVEL_FACTOR: f64 = 1.5;

/// Levels that are distinguished. The lower bound stands for less than half of the account's
/// share: below, the few calls of an account say little about its use.
const LEVELS: (i32, i32) = (-2, 12);

/// Multiple of its share from which an account counts as overusing the target. An account
/// that asks for ten times its share gets about this much while calls are refused, and the
/// random variation of one within its share does not reach it.
const OVERUSE_FACTOR: f64 = 3.0;

/// Number of accounts that a dump lists.
const MAX_DUMPED: usize = 20;

/// Slots that calls held lately and hold now.
#[derive(Clone, Copy, Debug, Default)]
struct SlotUse {
    /// Decayed mean number of slots held.
    mean: f64,
    /// Number of slots held now.
    held: u32,
    updated_at: MicroTime,
}

impl SlotUse {
    /// Returns the decayed mean at `now`.
    fn mean_at(&self, now: MicroTime) -> f64 {
        let elapsed = now.since(self.updated_at).0 as f64;
        let held = f64::from(self.held);
        held + (self.mean - held) * (-elapsed / HALF_LIFE.0 as f64).exp2()
    }

    /// Returns the use that accounts are compared by: slots held lately and now.
    fn at(&self, now: MicroTime) -> f64 {
        self.mean_at(now) + f64::from(self.held)
    }

    fn advance(&mut self, now: MicroTime) {
        self.mean = self.mean_at(now).max(0.0);
        self.updated_at = self.updated_at.max(now);
    }
}

/// State of one account at a target.
#[derive(Clone, Copy, Debug)]
struct AccountRecord {
    slots: SlotUse,
    share: u16,
    /// Last known use of its quota over the fleet, in thousandths.
    quota_permille: u16,
    quota_updated_at: MicroTime,
    last_used_at: MicroTime,
}

/// Use of a target by the client accounts that called it lately.
///
/// Invariants: at most [`MAX_TRACKED_ACCOUNTS`] accounts are tracked; `total` is the sum of
/// their slots, `total_share` that of their shares. Calls without an account, whose name is
/// empty, are not tracked and always have the lowest level.
#[derive(Clone, Debug)]
pub struct AccountUsage {
    records: LruCache<AccountName, AccountRecord>,
    total: SlotUse,
    total_share: u64,
}

impl Default for AccountUsage {
    fn default() -> Self {
        Self::open()
    }
}

impl AccountUsage {
    /// Creates the state of a target without any use.
    #[must_use]
    pub fn open() -> Self {
        Self { records: LruCache::unbounded(), total: SlotUse::default(), total_share: 0 }
    }

    /// Returns a copy that tracks only some accounts, each with the same level as here.
    #[must_use]
    pub(crate) fn copy_of<'a>(&self, accounts: impl Iterator<Item = &'a AccountName>) -> Self {
        let mut copy = Self {
            records: LruCache::unbounded(),
            total: self.total,
            total_share: self.total_share,
        };
        for account in accounts {
            if let Some(record) = self.records.peek(account) {
                copy.records.put(account.clone(), *record);
            }
        }
        copy
    }

    /// Records that a call of an account arrived.
    pub fn record_arrival(&mut self, now: MicroTime, account: &AccountName, share: u16) {
        if account.as_str().is_empty() {
            return;
        }
        self.drop_idle(now);
        let share = share.max(1);
        if let Some(record) = self.records.get_mut(account) {
            self.total_share = self.total_share + u64::from(share) - u64::from(record.share);
            record.share = share;
            record.last_used_at = now;
            return;
        }
        if self.records.len() >= MAX_TRACKED_ACCOUNTS {
            self.evict(now);
        }
        let slots = SlotUse { updated_at: now, ..SlotUse::default() };
        let (quota_permille, quota_updated_at) = (0, now);
        let record =
            AccountRecord { slots, share, quota_permille, quota_updated_at, last_used_at: now };
        self.records.put(account.clone(), record);
        self.total_share += u64::from(share);
    }

    /// Records the use of an account's quota over the fleet, in thousandths; zero if unknown,
    /// which leaves what another entry knows in place.
    pub fn record_quota_use(&mut self, now: MicroTime, account: &AccountName, permille: u16) {
        if let Some(record) = self.records.peek_mut(account)
            && permille > 0
        {
            record.quota_permille = permille;
            record.quota_updated_at = now;
        }
    }

    /// Records that a call of an account got a slot.
    pub fn record_start(&mut self, now: MicroTime, account: &AccountName) {
        let Some(record) = self.records.get_mut(account) else { return };
        record.last_used_at = now;
        for slots in [&mut record.slots, &mut self.total] {
            slots.advance(now);
            slots.held += 1;
        }
    }

    /// Records that a call of an account released its slot.
    pub fn record_end(&mut self, now: MicroTime, account: &AccountName) {
        let Some(record) = self.records.get_mut(account) else { return };
        record.last_used_at = now;
        // The account may have been evicted since the call started.
        if record.slots.held == 0 {
            return;
        }
        for slots in [&mut record.slots, &mut self.total] {
            slots.advance(now);
            slots.held -= 1;
        }
    }

    /// Returns how far an account is above its share, on a logarithmic scale: zero is its
    /// share, each level above a multiple of [`LEVEL_FACTOR`]. Of the use here and that of the
    /// quota over the fleet, the greater one counts.
    #[must_use]
    pub fn level(&self, now: MicroTime, account: &AccountName) -> i32 {
        let (lowest, highest) = LEVELS;
        let Some(record) = self.records.peek(account) else { return lowest };
        let is_current = now.since(record.quota_updated_at) < QUOTA_USE_RETENTION;
        let quota_use = if is_current { f64::from(record.quota_permille) / 1_000.0 } else { 0.0 };
        let multiple = self.share_multiple(record, |slots| slots.at(now)).max(quota_use);
        // The logarithm of zero is negative infinity, which is clamped.
        (multiple.log(LEVEL_FACTOR).round() as i32).clamp(lowest, highest)
    }

    /// Returns whether an account lately used the target far above its share. The slots that it
    /// holds now count only by how long it has held them, since two calls that happen to run at
    /// once are no overuse.
    #[must_use]
    pub fn is_overusing(&self, now: MicroTime, account: &AccountName) -> bool {
        let record = self.records.peek(account);
        let mean = |slots: &SlotUse| slots.mean_at(now);
        record.is_some_and(|record| self.share_multiple(record, mean) >= OVERUSE_FACTOR)
    }

    /// Returns the number of accounts that are tracked.
    #[must_use]
    pub fn tracked(&self) -> usize {
        self.records.len()
    }

    /// Returns the accounts that use most of their share, as JSON.
    pub(crate) fn dump(&self, now: MicroTime) -> Value {
        let multiple =
            |record: &AccountRecord| self.share_multiple(record, |slots| slots.mean_at(now));
        let records = self.records.iter();
        let mut records: Vec<(&AccountName, &AccountRecord, f64)> =
            records.map(|(account, record)| (account, record, multiple(record))).collect();
        records.sort_by(|left, right| right.2.total_cmp(&left.2));
        let describe = |(account, record, multiple): &(&AccountName, &AccountRecord, f64)| {
            json!({
                "account": account,
                "share": record.share,
                "slots": record.slots.mean_at(now),
                "held": record.slots.held,
                "share_multiple": multiple,
                "quota_permille": record.quota_permille,
            })
        };
        let highest: Vec<Value> = records.iter().take(MAX_DUMPED).map(describe).collect();
        json!({ "tracked": records.len(), "highest": highest })
    }

    /// Returns an account's use as a multiple of its part of all recent use.
    fn share_multiple(&self, record: &AccountRecord, use_of: impl Fn(&SlotUse) -> f64) -> f64 {
        let part = f64::from(record.share) / self.total_share.max(1) as f64;
        let due = use_of(&self.total) * part;
        if due > 0.0 { use_of(&record.slots) / due } else { 0.0 }
    }

    /// Stops tracking accounts that have made no call for a long time.
    fn drop_idle(&mut self, now: MicroTime) {
        while let Some((account, record)) = self.records.peek_lru() {
            if record.slots.held > 0 || now.since(record.last_used_at) < IDLE_RETENTION {
                return;
            }
            let account = account.clone();
            self.remove(now, &account);
        }
    }

    /// Stops tracking an account that was not used for long and has little use.
    fn evict(&mut self, now: MicroTime) {
        let candidates = self.records.iter().rev().take(EVICTION_CANDIDATES);
        let least = candidates.min_by(|left, right| {
            let use_of = |record: &AccountRecord| record.slots.at(now) / f64::from(record.share);
            use_of(left.1).total_cmp(&use_of(right.1))
        });
        if let Some(account) = least.map(|(account, _)| account.clone()) {
            self.remove(now, &account);
        }
    }

    fn remove(&mut self, now: MicroTime, account: &AccountName) {
        let Some(record) = self.records.pop(account) else { return };
        self.total_share -= u64::from(record.share);
        self.total.advance(now);
        self.total.mean = (self.total.mean - record.slots.mean_at(now)).max(0.0);
        self.total.held -= record.slots.held;
    }
}
