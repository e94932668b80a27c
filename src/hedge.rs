//! A second try beside a slow first one, for calls that may run twice.

use std::pin::pin;
use std::rc::Rc;

use futures::future::{Either, select};
use tokio::time::timeout;

use crate::attempt::{self, AttemptEnd};
use crate::entry::{ChosenTarget, EntryDuty};
use crate::ids::TargetName;
use crate::intake::CallerCall;
use crate::retry::hedge_after;

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
    if last || !call.terms.hedge || !call.terms.repeatable {
        return first.await;
    }
    let patience = hedge_after(chosen.service_us).duration();
    if let Ok(end) = timeout(patience, &mut first).await {
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

fn choose_second(
    duty: &EntryDuty,
    call: &CallerCall,
    tried: &mut Vec<TargetName>,
) -> Option<ChosenTarget> {
    if !duty.hedge_budget.borrow_mut().take() {
        return None;
    }
    let second = duty.choose(call, tried)?;
    tried.push(second.name.clone());
    duty.metrics.retries.with_label_values(&["hedge"]).inc();
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
