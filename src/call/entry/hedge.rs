//! A second try beside a slow first one, for calls that may run twice.

use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::Duration;

use futures::future::{Either, select};
use slog::info;
use tokio::time::timeout;

use crate::base::clock::MicroTime;
use crate::base::ids::TargetName;
use crate::call::entry::attempt::{self, AttemptEnd};
use crate::call::entry::intake::CallerCall;
use crate::call::entry::{ChosenTarget, EntryDuty};
use crate::decide::retry::{CallCourse, RetryBudget, hedge_after};
use crate::rules::options::HedgeRule;

/// How much longer than usual a try may take before it is hedged.
const USUAL_FACTOR: f64 = 1.5;

/// Time between two looks at a try that has not ended: a part of the time for
/// which a host stays slow.
const LOOK_EVERY: Duration = Duration::from_millis(25);

/// Least time before a hedge; shorter calls gain nothing over the network.
const LEAST_PATIENCE: MicroTime = MicroTime::from_millis(15);

/// Tries a call at a target, and at a second one if the first is slow.
///
/// Of a client account's calls only kinds whose template says so are hedged: a
/// call that makes calls of its own would double them all, at every level. Reads
/// of a route are, within the budget of all further tries. The first answer
/// holds; the other try is cancelled. `tried` gets the second target. A last try,
/// and a call that must not repeat, is never hedged.
pub(crate) async fn run(
    duty: &Rc<EntryDuty>,
    call: &CallerCall,
    chosen: &ChosenTarget,
    course: &mut CallCourse,
    last: bool,
    tried: &mut Vec<TargetName>,
) -> AttemptEnd {
    let mut first = pin!(attempt::run(duty, call, &chosen.name, &chosen.place, last));
    // Of a request that may end its target, one copy is enough.
    let alone = last || duty.standing(call).is_suspected();
    if alone || call.options.hedge == HedgeRule::Never || !course.may_try_beside() {
        return first.await;
    }
    let mut progress = TryProgress::open(duty, call);
    let second = loop {
        if let Some(end) = wait_for_first(duty, call, chosen, &mut progress, &mut first).await {
            return end;
        }
        if duty.standing(call).is_suspected() {
            return first.await;
        }
        if let Some(second) = choose_second(duty, call, tried) {
            break second;
        }
        if call.options.hedge == HedgeRule::SlowCalls {
            return first.await;
        }
        // No target would be in time now; one may be at the next look.
    };
    course.try_beside();
    let last = second.others == 0;
    let second = pin!(attempt::run(duty, call, &second.name, &second.place, last));
    match select(first, second).await {
        Either::Left((end, second)) => take_better(end, second).await,
        Either::Right((end, first)) => take_better(end, first).await,
    }
}

/// Waits for the first try; nothing once a second one should start beside it.
async fn wait_for_first(
    duty: &EntryDuty,
    call: &CallerCall,
    chosen: &ChosenTarget,
    progress: &mut TryProgress,
    first: &mut Pin<&mut impl Future<Output = AttemptEnd>>,
) -> Option<AttemptEnd> {
    if call.options.hedge == HedgeRule::SlowCalls {
        let patience = hedge_after(chosen.service_us).duration();
        return timeout(patience, first.as_mut()).await.ok();
    }
    loop {
        if let Ok(end) = timeout(LOOK_EVERY, first.as_mut()).await {
            return Some(end);
        }
        let now = duty.clock.now();
        let slowness = duty.slowness_of(&call.service, &chosen.name);
        let late = progress.step(now, slowness) > call.objective();
        if late || progress.is_overdue(now) {
            return None;
        }
    }
}

/// How far a try has come, as far as its target's speed tells.
struct TryProgress {
    work_us: f64,
    done_us: f64,
    since: MicroTime,
    looked: MicroTime,
}

impl TryProgress {
    fn open(duty: &EntryDuty, call: &CallerCall) -> Self {
        let work_us = duty.route_book.borrow().work_us(&call.options);
        let now = duty.clock.now();
        Self { work_us, done_us: 0.0, since: now, looked: now }
    }

    /// Takes the slowness since the last look, as a factor; returns when the try
    /// is expected to end if it stays like that.
    fn step(&mut self, now: MicroTime, slowness: f64) -> MicroTime {
        self.done_us += now.since(self.looked).0 as f64 / slowness;
        self.looked = now;
        let left = (self.work_us - self.done_us).max(0.0) * slowness;
        now + MicroTime(left as u64)
    }

    /// Tells whether a try takes longer than usual, for whatever reason.
    fn is_overdue(&self, now: MicroTime) -> bool {
        let usual = MicroTime((self.work_us * USUAL_FACTOR) as u64).max(LEAST_PATIENCE);
        now.since(self.since) > usual
    }
}

fn choose_second(
    duty: &EntryDuty,
    call: &CallerCall,
    tried: &mut Vec<TargetName>,
) -> Option<ChosenTarget> {
    let granted = match call.options.hedge {
        HedgeRule::Never => false,
        HedgeRule::SlowCalls => duty.hedge_budget.borrow_mut().take(),
        HedgeRule::WithinObjective => {
            duty.can_be_in_time(call, tried) && duty.with_budget(&call.service, RetryBudget::take)
        }
    };
    if !granted {
        return None;
    }
    let second = duty.choose(call, tried)?;
    tried.push(second.name.clone());
    duty.metrics.retries.with_label_values(&["hedge"]).inc();
    info!(duty.logger, "hedged"; "id" => &*call.id, "target" => %second.name);
    Some(second)
}

/// Takes the end of one try if it is an answer, otherwise waits for the other.
async fn take_better(end: AttemptEnd, other: impl Future<Output = AttemptEnd>) -> AttemptEnd {
    if matches!(end, AttemptEnd::Answered(_)) {
        return end;
    }
    let lost = matches!(end, AttemptEnd::Lost);
    match other.await {
        answered @ AttemptEnd::Answered(_) => answered,
        // A try that may have run is not undone by one that did not.
        _ if lost => AttemptEnd::Lost,
        end => end,
    }
}
