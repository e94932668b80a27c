//! Hedging: a second attempt parallel to a slow first one, for calls that may run twice.

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
use crate::decide::retry::{CallAttempts, RetryBudget, hedge_after};
use crate::rules::options::HedgeRule;

/// Multiple of the average work time of its route after which an attempt is overdue and is
/// hedged.
const OVERDUE_FACTOR: f64 = 1.5;

/// Interval at which the progress of an attempt is checked: a fraction of the time for
/// which a host stays slow.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Minimum time after which an attempt is overdue; hedging shorter calls gains nothing
/// because of the network delay.
const MIN_OVERDUE_TIME: MicroTime = MicroTime::from_millis(15);

/// Attempts a call at a target, and at a second one if the first is slow.
///
/// Calls of a client account are hedged only if the template of their kind allows it,
/// since hedging a call that makes further calls would double those at every level.
/// Routed reads are hedged within the retry budget of their service, if another target would
/// be in time. The first answer is used and the other attempt is cancelled. The second target
/// is added to `tried`. The last attempt of a call, a call that must not run twice and a
/// request that is suspected of crashing targets are never hedged.
pub(crate) async fn run(
    duty: &Rc<EntryDuty>,
    call: &CallerCall,
    chosen: &ChosenTarget,
    attempts: &mut CallAttempts,
    last_target: bool,
    tried: &mut Vec<TargetName>,
) -> AttemptEnd {
    let may_wait = last_target || chosen.queues;
    let mut first = pin!(attempt::run(duty, call, &chosen.name, &chosen.location, may_wait));
    // A request that may crash its target must not run at two targets.
    let must_not_hedge = last_target || duty.suspect_record(call).is_suspected();
    if must_not_hedge || call.options.hedge == HedgeRule::Never || !attempts.may_hedge() {
        return first.await;
    }
    let mut progress = AttemptProgress::open(duty, call);
    let second = loop {
        if let Some(end) = wait_for_first(duty, call, chosen, &mut progress, &mut first).await {
            return end;
        }
        if duty.suspect_record(call).is_suspected() {
            return first.await;
        }
        if let Some(second) = choose_hedge_target(duty, call, tried) {
            break second;
        }
        if call.options.hedge == HedgeRule::SlowCalls {
            return first.await;
        }
        // No other target would be in time now, or the budget is used up; that may have
        // changed at the next check.
    };
    attempts.count_hedge();
    let last_target = second.untried == 0;
    let second = pin!(attempt::run(duty, call, &second.name, &second.location, last_target));
    match select(first, second).await {
        Either::Left((end, second)) => prefer_answer(end, second).await,
        Either::Right((end, first)) => prefer_answer(end, first).await,
    }
}

/// Waits for the first attempt; returns `None` once a second one should start parallel to it.
async fn wait_for_first(
    duty: &EntryDuty,
    call: &CallerCall,
    chosen: &ChosenTarget,
    progress: &mut AttemptProgress,
    first: &mut Pin<&mut impl Future<Output = AttemptEnd>>,
) -> Option<AttemptEnd> {
    if call.options.hedge == HedgeRule::SlowCalls {
        let hedge_delay = hedge_after(chosen.service_us).duration();
        return timeout(hedge_delay, first.as_mut()).await.ok();
    }
    loop {
        if let Ok(end) = timeout(CHECK_INTERVAL, first.as_mut()).await {
            return Some(end);
        }
        let now = duty.clock.now();
        let slowness = duty.slowness_of(&call.service, &chosen.name);
        let late = progress.advance(now, slowness) > call.objective();
        if late || progress.is_overdue(now) {
            return None;
        }
    }
}

/// Progress of an attempt, estimated from its target's speed.
struct AttemptProgress {
    /// Average work time of the call's route, in microseconds.
    work_us: f64,
    /// Part of the work that is estimated to be done, in microseconds at normal speed.
    done_us: f64,
    started_at: MicroTime,
    checked_at: MicroTime,
}

impl AttemptProgress {
    fn open(duty: &EntryDuty, call: &CallerCall) -> Self {
        let work_us = duty.route_stats.borrow().work_us(&call.options);
        let now = duty.clock.now();
        Self { work_us, done_us: 0.0, started_at: now, checked_at: now }
    }

    /// Adds the work done since the last check, at a target that is slower than normal by the
    /// factor `slowness`; returns when the attempt will end if the slowness stays the same.
    fn advance(&mut self, now: MicroTime, slowness: f64) -> MicroTime {
        self.done_us += now.since(self.checked_at).0 as f64 / slowness;
        self.checked_at = now;
        let remaining_us = (self.work_us - self.done_us).max(0.0) * slowness;
        now + MicroTime(remaining_us as u64)
    }

    /// Returns whether the attempt has taken much longer than the average, for whatever reason.
    fn is_overdue(&self, now: MicroTime) -> bool {
        let overdue_time = MicroTime((self.work_us * OVERDUE_FACTOR) as u64).max(MIN_OVERDUE_TIME);
        now.since(self.started_at) > overdue_time
    }
}

/// Chooses the target of a second attempt, if the hedge rule and the budget of the call allow
/// one.
fn choose_hedge_target(
    duty: &EntryDuty,
    call: &CallerCall,
    tried: &mut Vec<TargetName>,
) -> Option<ChosenTarget> {
    let granted = match call.options.hedge {
        HedgeRule::Never => false,
        HedgeRule::SlowCalls => duty.hedge_budget.borrow_mut().try_take(),
        HedgeRule::WithinObjective => {
            duty.can_be_in_time(call, tried)
                && duty.with_retry_budget(&call.service, RetryBudget::try_take)
        }
    };
    if !granted {
        return None;
    }
    let second = duty.choose(call, tried)?;
    tried.push(second.name.clone());
    duty.metrics.retries.with_label_values(&["hedge"]).inc();
    info!(duty.logger, "hedged"; "id" => &*call.request_id, "target" => %second.name);
    Some(second)
}

/// Returns the end of one attempt if it is an answer, otherwise waits for the other.
async fn prefer_answer(end: AttemptEnd, other: impl Future<Output = AttemptEnd>) -> AttemptEnd {
    if matches!(end, AttemptEnd::Answered(_)) {
        return end;
    }
    let other_end = other.await;
    match (end, other_end) {
        (_, answered @ AttemptEnd::Answered(_)) => answered,
        // An attempt that may have run outweighs one that did not run.
        (lost @ AttemptEnd::Lost(_), _) => lost,
        (_, other_end) => other_end,
    }
}
