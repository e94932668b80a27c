//! At most once, over every order of claims, crashes, losses and repeats.

#[path = "common/seeded.rs"]
mod seeded;

use std::collections::HashMap;

use proptest::prelude::*;
use railspan::{
    CallId, CallLedger, CallStatus, ClaimRow, ClaimState, ClaimVerdict, DaemonIncarnation,
    MicroTime, RecordedAnswer,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use seeded::seeded;

proptest! {
    #![proptest_config(seeded(500))]

    /// Copies, revocations and dispatches in any order, and a clock that jumps.
    #[test]
    fn a_call_told_not_run_is_never_dispatched(
        steps in proptest::collection::vec((0_u8..4, 0_u128..5, 0_u64..200_000_000), 1..200),
    ) {
        let mut ledger = CallLedger::default();
        let mut now = MicroTime(0);
        let mut dispatched: HashMap<u128, MicroTime> = HashMap::new();
        let mut denied: HashMap<u128, MicroTime> = HashMap::new();
        let retention = MicroTime::from(railspan::LEDGER_RETENTION);
        for (kind, call, passed) in steps {
            let id = CallId(call);
            match kind {
                0 => {
                    ledger.register(now, id);
                }
                1 => {
                    if ledger.try_dispatch(id) {
                        let earlier = dispatched.insert(call, now);
                        let fresh = earlier.is_none_or(|at| now.since(at) >= retention);
                        prop_assert!(fresh, "dispatched twice");
                        let kept = denied.get(&call).is_none_or(|&at| now.since(at) >= retention);
                        prop_assert!(kept, "dispatched after it was denied");
                        ledger.finish(now, id, CallStatus::Unknown);
                    }
                }
                2 => {
                    if ledger.revoke(now, id) == CallStatus::NotRun {
                        let ran = dispatched.get(&call).is_some_and(|&at| now.since(at) < retention);
                        prop_assert!(!ran, "denied although it ran");
                        denied.entry(call).or_insert(now);
                    }
                }
                _ => now = now + MicroTime(passed),
            }
            denied.retain(|_, at| now.since(*at) < retention);
        }
    }

    /// Several entries, guards and a table that loses answers work on one key.
    #[test]
    fn one_key_runs_at_most_once(seed: u64, steps in 20_usize..200) {
        let mut world = KeyWorld::open(seed);
        for _ in 0..steps {
            world.step();
            prop_assert!(world.runs.len() <= 1, "ran {} times: {:?}", world.runs.len(), world.history);
            for call in &world.told_not_run {
                prop_assert!(!world.runs.contains(call), "denied {call:?}: {:?}", world.history);
            }
        }
    }

    /// Without crashes a key that was tried for long enough has run.
    #[test]
    fn one_key_is_not_lost_without_crashes(seed: u64) {
        let mut world = KeyWorld::open(seed);
        world.crashes = false;
        for _ in 0..3_000 {
            world.step();
        }
        prop_assert_eq!(world.runs.len(), 1, "{:?}", world.history);
    }
}

/// The memory bears the rate of the size to design for, and its refusals.
#[test]
fn a_ledger_is_never_full_at_the_rate_of_a_busy_target() {
    let mut ledger = CallLedger::default();
    // 336 calls a second for ten minutes, and twice as many that are denied.
    for number in 0..336_u64 * 600 {
        let now = MicroTime(number * 1_000_000 / 336);
        let call = u128::from(number) * 3;
        assert!(ledger.register(now, CallId(call)), "full after {} s", now.0 / 1_000_000);
        assert!(ledger.try_dispatch(CallId(call)));
        let deadline = now + MicroTime::from_millis(2_000);
        ledger.finish_repeatable(now, CallId(call), CallStatus::Unknown, deadline);
        for denied in 1..3 {
            assert!(ledger.register(now, CallId(call + denied)));
            assert_eq!(ledger.revoke(now, CallId(call + denied)), CallStatus::NotRun);
        }
    }
}

/// One guard's life as far as the key is concerned.
struct FakeGuard {
    incarnation: DaemonIncarnation,
    ledger: CallLedger,
    /// Calls that hold the claim at this version and may be dispatched.
    held: Vec<(CallId, u64)>,
    running: Vec<(CallId, u64)>,
}

/// A claim on its way to the table.
#[derive(Clone, Copy, Debug)]
struct FlyingClaim {
    call: CallId,
    guard: usize,
    incarnation: DaemonIncarnation,
    expect: u64,
    /// Whether the guard gave up waiting for the answer.
    abandoned: bool,
}

/// One idempotency key, the row in the table, guards, and calls under way.
struct KeyWorld {
    rng: Pcg64Mcg,
    row: Option<(u64, ClaimRow)>,
    version: u64,
    guards: Vec<FakeGuard>,
    flying: Vec<FlyingClaim>,
    next_call: u128,
    runs: Vec<CallId>,
    told_not_run: Vec<CallId>,
    crashes: bool,
    history: Vec<String>,
}

impl KeyWorld {
    fn open(seed: u64) -> Self {
        let guards = (0..3).map(|index| FakeGuard {
            incarnation: DaemonIncarnation(index),
            ledger: CallLedger::default(),
            held: Vec::new(),
            running: Vec::new(),
        });
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            row: None,
            version: 0,
            guards: guards.collect(),
            flying: Vec::new(),
            next_call: 0,
            runs: Vec::new(),
            told_not_run: Vec::new(),
            crashes: true,
            history: Vec::new(),
        }
    }

    fn step(&mut self) {
        match self.rng.random_range(0..12) {
            0 | 1 => self.arrive(0),
            2 | 3 => self.apply_claim(),
            4 => self.abandon(),
            5 | 6 => self.dispatch(),
            7 | 8 => self.finish(),
            9 => self.repeat(),
            10 => self.revoke(),
            _ if self.crashes && self.rng.random_bool(0.2) => self.crash(),
            _ => {}
        }
    }

    /// A call reaches a guard, which asks the table for the claim.
    fn arrive(&mut self, expect: u64) {
        let guard = self.rng.random_range(0..self.guards.len());
        self.next_call += 1;
        let call = CallId(self.next_call);
        let incarnation = self.guards[guard].incarnation;
        if self.guards[guard].ledger.register(MicroTime(0), call) {
            self.history.push(format!("{call:?} at guard {guard} expects {expect}"));
            self.flying.push(FlyingClaim { call, guard, incarnation, expect, abandoned: false });
        }
    }

    /// The table takes a claim; its answer may be lost, then it is read back.
    fn apply_claim(&mut self) {
        if self.flying.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.flying.len());
        let claim = self.flying.swap_remove(index);
        let present = self.row.as_ref().map_or(0, |(version, _)| *version);
        let alive = self.guards[claim.guard].incarnation == claim.incarnation;
        if present == claim.expect {
            self.version += 1;
            self.row = Some((self.version, claim_row(&claim)));
            self.history.push(format!("{:?} claims {}", claim.call, self.version));
            if alive && !claim.abandoned {
                self.guards[claim.guard].held.push((claim.call, self.version));
            }
        } else if alive && !claim.abandoned {
            self.deny(claim.guard, claim.call);
        }
    }

    /// A guard stops waiting for the table; the write may still come.
    fn abandon(&mut self) {
        if self.flying.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.flying.len());
        let claim = self.flying[index];
        if claim.abandoned || self.guards[claim.guard].incarnation != claim.incarnation {
            return;
        }
        self.flying[index].abandoned = true;
        self.deny(claim.guard, claim.call);
    }

    fn deny(&mut self, guard: usize, call: CallId) {
        if self.guards[guard].ledger.revoke(MicroTime(0), call) == CallStatus::NotRun {
            self.history.push(format!("{call:?} denied"));
            self.told_not_run.push(call);
        }
    }

    fn dispatch(&mut self) {
        let guard = self.rng.random_range(0..self.guards.len());
        let Some((call, version)) = self.guards[guard].held.pop() else { return };
        if self.guards[guard].ledger.try_dispatch(call) {
            self.history.push(format!("{call:?} runs"));
            self.runs.push(call);
            self.guards[guard].running.push((call, version));
        } else {
            self.release(version);
        }
    }

    /// Deletes the row if it is still at this version.
    fn release(&mut self, version: u64) {
        if self.row.as_ref().is_some_and(|(present, _)| *present == version) {
            self.row = None;
        }
    }

    fn finish(&mut self) {
        let guard = self.rng.random_range(0..self.guards.len());
        let Some((call, version)) = self.guards[guard].running.pop() else { return };
        let answer = RecordedAnswer { status: 200, content_type: None, body: None };
        self.guards[guard].ledger.finish(MicroTime(0), call, CallStatus::Answered(answer.clone()));
        if let Some((present, row)) = &mut self.row
            && *present == version
        {
            self.version += 1;
            *present = self.version;
            row.state = ClaimState::Answered(answer);
        }
    }

    /// A repeat finds the row and settles it with the guard that holds it.
    fn repeat(&mut self) {
        let Some((version, row)) = self.row.clone() else { return };
        if row.verdict("print") != ClaimVerdict::AskGuard {
            return;
        }
        let holder = self.guards.iter_mut().find(|guard| guard.incarnation == row.incarnation);
        let status =
            holder.map_or(CallStatus::Unknown, |guard| guard.ledger.revoke(MicroTime(0), row.call));
        if status == CallStatus::NotRun {
            self.told_not_run.push(row.call);
            self.arrive(version);
        }
    }

    /// An entry gives a call up and asks its guard to make sure.
    fn revoke(&mut self) {
        if self.next_call == 0 {
            return;
        }
        let call = CallId(self.rng.random_range(1..=self.next_call));
        for guard in 0..self.guards.len() {
            if self.guards[guard].held.iter().any(|(held, _)| *held == call) {
                self.deny(guard, call);
            }
        }
    }

    fn crash(&mut self) {
        let guard = self.rng.random_range(0..self.guards.len());
        self.history.push(format!("guard {guard} crashes"));
        self.guards[guard] = FakeGuard {
            incarnation: DaemonIncarnation(self.rng.random()),
            ledger: CallLedger::default(),
            held: Vec::new(),
            running: Vec::new(),
        };
    }
}

fn claim_row(claim: &FlyingClaim) -> ClaimRow {
    ClaimRow {
        call: claim.call,
        host: format!("host-{}", claim.guard).as_str().into(),
        guard: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
        incarnation: claim.incarnation,
        fingerprint: "print".to_owned(),
        state: ClaimState::Started,
    }
}

/// An entry that did not get the answer asks at the deadline: the call ran.
#[test]
fn a_call_that_may_repeat_is_not_said_not_to_have_run_after_it_ran() {
    let mut ledger = CallLedger::default();
    let deadline = MicroTime::from_millis(1_500);
    assert!(ledger.register(MicroTime(0), CallId(1)));
    assert!(ledger.try_dispatch(CallId(1)));
    ledger.finish_repeatable(MicroTime::from_millis(10), CallId(1), CallStatus::Unknown, deadline);
    assert_ne!(ledger.revoke(MicroTime::from_millis(1_460), CallId(1)), CallStatus::NotRun);
    // Long after the deadline nobody asks, and nothing is kept.
    assert_eq!(ledger.revoke(MicroTime::from_millis(60_000), CallId(2)), CallStatus::NotRun);
    assert_eq!(ledger.len(), 1);
}
