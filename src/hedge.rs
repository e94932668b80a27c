//! A second try beside a slow first one, for calls that may run twice.

use std::pin::pin;
use std::rc::Rc;

use futures::future::{Either, select};
use slog::info;
use tokio::time::timeout;

use crate::attempt::{self, AttemptEnd};
use crate::clock::MicroTime;
use crate::config::HedgeRule;
use crate::entry::{ChosenTarget, EntryDuty};
use crate::ids::TargetName;
use crate::intake::CallerCall;
use crate::retry::{RetryBudget, hedge_after};

/// How much longer than usual a try may take before it is hedged.
const USUAL_FACTOR: f64 = 1.5;

/// Least time before a hedge; shorter calls gain nothing over the network.
const LEAST_PATIENCE: MicroTime = MicroTime::from_millis(15);

/// Tries a call at a target, and at a second one if the first is slow.
///
/// Only kinds whose template says so are hedged: a call that makes calls of its
/// own would double them all, at every level. The first answer holds; the other
/// try is cancelled. `tried` gets the second target. A last try, and a call that
/// must not repeat, is never hedged.
pub(crate) async fn run(
    duty: &Rc<EntryDuty>,
    call: &CallerCall,
    chosen: &ChosenTarget,
    last: bool,
    tried: &mut Vec<TargetName>,
) -> AttemptEnd {
    let mut first = pin!(attempt::run(duty, call, &chosen.name, &chosen.place, last));
    if last || !call.terms.repeatable || call.terms.hedge == HedgeRule::Never {
        return first.await;
    }
    let patience = patience(duty, call, chosen);
    if let Ok(end) = timeout(patience.duration(), &mut first).await {
        return end;
    }
    let Some(second) = choose_second(duty, call, tried) else { return first.await };
    let last = second.others == 0;
    let second = pin!(attempt::run(duty, call, &second.name, &second.place, last));
    match select(first, second).await {
        Either::Left((end, second)) => take_better(end, second).await,
        Either::Right((end, first)) => take_better(end, first).await,
    }
}

/// Returns how long the first try may take before a second one starts.
fn patience(duty: &EntryDuty, call: &CallerCall, chosen: &ChosenTarget) -> MicroTime {
    if call.terms.hedge == HedgeRule::BesideSlow {
        return hedge_after(chosen.service_us);
    }
    let work_us = duty.course_book.borrow().work_us(&call.terms.kind);
    MicroTime((work_us * USUAL_FACTOR) as u64).max(LEAST_PATIENCE)
}

fn choose_second(
    duty: &EntryDuty,
    call: &CallerCall,
    tried: &mut Vec<TargetName>,
) -> Option<ChosenTarget> {
    let granted = match call.terms.hedge {
        HedgeRule::Never => false,
        HedgeRule::BesideSlow => duty.hedge_budget.borrow_mut().take(),
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
