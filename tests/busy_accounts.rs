//! Client accounts at a target that is short of capacity, in virtual time.

use std::collections::{BTreeSet, HashMap};

use railspan::{
    AccountName, AccountUsage, AdmissionAction, AdmissionEvent, AdmissionQueue, CallId,
    CallPriority, MAX_TRACKED_ACCOUNTS, MicroTime, WaitingCall,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

const SLOTS: u16 = 18;
const ACCOUNTS: usize = 73;
const WORK_MS: u64 = 200;
const RUN_MS: u64 = 60_000;

/// Calls that the target can serve in a second.
const CAPACITY_PER_S: f64 = SLOTS as f64 * 1_000.0 / WORK_MS as f64;

/// The account that asks for ten times its share.
const GREEDY: usize = 0;

/// What one account, or several, asked for and got.
#[derive(Clone, Copy, Debug, Default)]
struct Service {
    calls: u32,
    in_time: u32,
}

impl Service {
    fn fraction(self) -> f64 {
        f64::from(self.in_time) / f64::from(self.calls.max(1))
    }
}

/// A call of the load: its arrival time in milliseconds, its account and whether it is urgent.
type LoadCall = (u64, usize, bool);

/// Draws the calls of some accounts, each of which makes `rate_per_s`; a quarter is urgent.
fn draw_calls(accounts: std::ops::Range<usize>, rate_per_s: f64) -> Vec<LoadCall> {
    let mut calls = Vec::new();
    for account in accounts {
        let mut rng = Pcg64Mcg::seed_from_u64(account as u64);
        for now_ms in 0..RUN_MS {
            if rng.random_bool(rate_per_s / 1_000.0) {
                calls.push((now_ms, account, rng.random_bool(0.25)));
            }
        }
    }
    calls
}

fn waiting_call(number: u128, account: usize, urgent: bool, now_ms: u64) -> WaitingCall {
    let max_wait_ms = if urgent { 400 } else { 1_500 };
    WaitingCall {
        call: CallId(number),
        account: format!("account-{account}").as_str().into(),
        share: 20,
        priority: CallPriority { urgent, worth: if urgent { 100 } else { 98 } },
        deadline: MicroTime::from_millis(now_ms + 3_000),
        queue_deadline: MicroTime::from_millis(now_ms + max_wait_ms),
        work_us: WORK_MS as u32 * 1_000,
        last_target: true,
        nested: false,
    }
}

/// Plays a load and returns the service of each account.
fn play(mut load: Vec<LoadCall>) -> Vec<Service> {
    load.sort_unstable();
    let mut queue = AdmissionQueue::open(SLOTS);
    let mut service = vec![Service::default(); ACCOUNTS];
    let mut owners: HashMap<CallId, usize> = HashMap::new();
    // End time and id of the running calls.
    let mut running: BTreeSet<(u64, CallId)> = BTreeSet::new();
    let mut load = load.into_iter().peekable();
    let mut number = 0;
    for now_ms in 0..RUN_MS {
        let now = MicroTime::from_millis(now_ms);
        let mut out = Vec::new();
        while running.first().is_some_and(|(end_ms, _)| *end_ms <= now_ms)
            && let Some((_, call)) = running.pop_first()
        {
            let took = Some(MicroTime::from_millis(WORK_MS));
            queue.step(now, AdmissionEvent::Finish { call, took, failed: false }, &mut out);
        }
        while let Some((_, account, urgent)) = load.next_if(|(at_ms, ..)| *at_ms == now_ms) {
            number += 1;
            owners.insert(CallId(number), account);
            service[account].calls += 1;
            let call = waiting_call(number, account, urgent, now_ms);
            queue.step(now, AdmissionEvent::Arrive(call), &mut out);
        }
        queue.step(now, AdmissionEvent::Tick, &mut out);
        for action in out {
            if let AdmissionAction::Start(call) = action {
                service[owners[&call]].in_time += 1;
                running.insert((now_ms + WORK_MS, call));
            }
        }
        let waits_despite_slot = queue.waiting() > 0 && queue.running() < queue.limit();
        assert!(!waits_despite_slot, "a call waits despite a free slot at {now_ms} ms");
    }
    service
}

/// Returns the service of all accounts but [`GREEDY`] together.
fn others_together(service: &[Service]) -> Service {
    service[GREEDY + 1..].iter().fold(Service::default(), |sum, one| Service {
        calls: sum.calls + one.calls,
        in_time: sum.in_time + one.in_time,
    })
}

/// Without an order by accounts, an account gets as much as it asks for, at the cost of others.
#[test_case(0.6; "others within the capacity")]
#[test_case(0.95; "others near the capacity")]
#[test_case(1.2; "others above the capacity")]
fn an_account_at_ten_times_its_share_takes_little_from_the_others(others: f64) {
    let others_per_s = others * CAPACITY_PER_S / (ACCOUNTS - 1) as f64;
    let mut load = draw_calls(GREEDY + 1..ACCOUNTS, others_per_s);
    let alone = others_together(&play(load.clone())).fraction();
    load.extend(draw_calls(GREEDY..GREEDY + 1, 10.0 * CAPACITY_PER_S / ACCOUNTS as f64));
    let service = play(load);
    let together = others_together(&service).fraction();
    assert!(alone - together <= 0.05, "others are served {alone:.3} alone, {together:.3} with it");
    for (account, one) in service.iter().enumerate().skip(GREEDY + 1) {
        let fraction = one.fraction();
        assert!(fraction >= together / 2.0, "{account} is served {fraction:.3} of {together:.3}");
    }
}

/// An account that asks for less than its share waits no longer because others ask for more.
#[test]
fn an_account_within_its_share_is_served_among_greedy_ones() {
    const MODEST: usize = ACCOUNTS - 1;
    let mut load = draw_calls(0..MODEST, 2.0 * CAPACITY_PER_S / ACCOUNTS as f64);
    load.extend(draw_calls(MODEST..ACCOUNTS, 0.5 * CAPACITY_PER_S / ACCOUNTS as f64));
    let service = play(load);
    let all = others_together(&service).fraction();
    let modest = service[MODEST].fraction();
    assert!(modest >= all, "{modest:.3} of its calls are served, {all:.3} of all calls");
}

/// A burst of an account that overuses the target would otherwise keep the queue full of its
/// calls, of higher worth, when others arrive.
#[test]
fn calls_of_an_overusing_account_are_evicted_first() {
    let mut queue = AdmissionQueue::open(1);
    let mut out = Vec::new();
    let offer = |queue: &mut AdmissionQueue, number, account, worth, now_ms| {
        let mut call = waiting_call(number, account, false, now_ms);
        call.priority.worth = worth;
        let mut out = Vec::new();
        queue.step(MicroTime::from_millis(now_ms), AdmissionEvent::Arrive(call), &mut out);
        out
    };
    // Four accounts asked lately; the slot has been held by the first alone.
    for account in 1..=3 {
        assert!(!offer(&mut queue, account as u128, account, 1, 0).is_empty());
        let finish =
            AdmissionEvent::Finish { call: CallId(account as u128), took: None, failed: false };
        queue.step(MicroTime(0), finish, &mut out);
    }
    assert_eq!(offer(&mut queue, 10, GREEDY, 99, 0), [AdmissionAction::Start(CallId(10))]);
    assert!(offer(&mut queue, 11, GREEDY, 99, 200).is_empty());
    assert!(offer(&mut queue, 12, GREEDY, 99, 201).is_empty());
    let actions = offer(&mut queue, 13, 1, 98, 202);
    let [AdmissionAction::Refuse { call, .. }] = actions[..] else { panic!("{actions:?}") };
    assert_eq!(call, CallId(12));
}

/// Accounts without a call for long are forgotten, and a flood of accounts neither takes
/// unbounded memory nor hides one that is far above its share.
#[test]
fn accounts_are_tracked_in_bounded_memory() {
    let mut usage = AccountUsage::open();
    let greedy = AccountName::from("greedy");
    usage.record_arrival(MicroTime(0), &greedy, 1);
    (0..18).for_each(|_| usage.record_start(MicroTime(0), &greedy));
    let now = MicroTime::from_millis(3_000);
    (0..18).for_each(|_| usage.record_end(now, &greedy));
    for number in 0..3 * MAX_TRACKED_ACCOUNTS {
        let account = AccountName::from(format!("account-{number}").as_str());
        usage.record_arrival(now, &account, 1);
        usage.record_start(now, &account);
        usage.record_end(now, &account);
    }
    assert_eq!(usage.tracked(), MAX_TRACKED_ACCOUNTS);
    assert!(usage.is_overusing(now, &greedy));
    let later = now + MicroTime::from_millis(60_000);
    usage.record_arrival(later, &greedy, 1);
    assert_eq!(usage.tracked(), 1);
}

/// A target that knows little of an account still puts it behind others when it has used up its
/// quota elsewhere, also when other entries don't know that. Calls without an account are never
/// behind.
#[test]
fn use_of_the_quota_elsewhere_counts() {
    let mut usage = AccountUsage::open();
    let (busy, quiet) = (AccountName::from("busy"), AccountName::from("quiet"));
    let now = MicroTime(0);
    for (account, permille) in [(&busy, 1_000), (&quiet, 200)] {
        usage.record_arrival(now, account, 1);
        usage.record_quota_use(now, account, permille);
    }
    usage.record_quota_use(now, &busy, 0);
    assert!(usage.level(now, &quiet) < usage.level(now, &busy));
    let later = now + MicroTime::from_millis(6_000);
    assert_eq!(usage.level(later, &quiet), usage.level(later, &busy), "old knowledge counts");
    let none = AccountName::from("");
    usage.record_arrival(now, &none, 1);
    usage.record_start(now, &none);
    assert!(usage.level(now, &none) <= usage.level(now, &quiet));
}
