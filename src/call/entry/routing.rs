//! A call's tries: which target, and what follows when one of them ends.

use std::rc::Rc;

use http::{Response, StatusCode};
use slog::info;

use super::EntryDuty;
use crate::base::call_status::{CallStatus, ClaimRow};
use crate::base::clock::MicroTime;
use crate::base::ids::TargetName;
use crate::base::wire::{LoadReport, RefusalReason};
use crate::call::entry::attempt::{self, AttemptEnd};
use crate::call::entry::hedge;
use crate::call::entry::intake::{CallerCall, NOT_READY_RETRY_MS};
use crate::call::entry::measure;
use crate::call::reply::{self, EntryBody};
use crate::decide::benefit;
use crate::decide::outcome::RowVerdict;
use crate::decide::retry::{CallCourse, NextStep, TryEnd};
use crate::decide::selection::TargetPlace;

/// When to come back while an earlier call with the key still runs.
const RUNNING_RETRY_MS: u32 = 500;

/// A target as it was chosen for a try.
#[derive(Debug)]
pub(crate) struct ChosenTarget {
    pub(crate) name: TargetName,
    pub(crate) place: TargetPlace,
    /// Time it takes for a call, as far as known, in microseconds.
    pub(crate) service_us: f64,
    /// What the choice was made on, and its age.
    pub(crate) load: LoadReport,
    pub(crate) load_age: MicroTime,
    /// Targets that stay untried.
    pub(crate) others: usize,
}

impl EntryDuty {
    /// Tries targets until one answers, or until no further try is allowed.
    pub(super) async fn route(self: &Rc<Self>, mut call: CallerCall) -> Response<EntryBody> {
        let mut tried: Vec<TargetName> = Vec::new();
        // Of those, the ones that will not be free again soon.
        let mut gone: Vec<TargetName> = Vec::new();
        let mut course = CallCourse::open(call.options.repeatable, call.options.attempts);
        let mut refusal = ("no_target", NOT_READY_RETRY_MS);
        // A target's own answer, kept while another target is tried.
        let mut failure: Option<Response<EntryBody>> = None;
        loop {
            if let Some(response) = self.hold_back(&call, course.give_up()) {
                return failure.unwrap_or(response);
            }
            if course.is_last_try() {
                // Where it was full there may be the shortest queue all the same.
                tried.retain(|name| gone.contains(name));
            }
            let Some(chosen) = self.choose(&call, &tried) else {
                return failure.unwrap_or_else(|| give_up(course.give_up(), refusal));
            };
            measure::probe_some(self, &call.service);
            self.log_choice(&call, &chosen);
            tried.push(chosen.name.clone());
            let last = course.is_last_try() || chosen.others == 0;
            let (end, cause) =
                match hedge::run(self, &call, &chosen, &mut course, last, &mut tried).await {
                    AttemptEnd::Answered(response) if response.status().is_server_error() => {
                        gone.push(chosen.name);
                        failure = Some(response);
                        (TryEnd::Failed, "failed")
                    }
                    AttemptEnd::Answered(response) => {
                        self.with_budget(&call.service, |budget| {
                            course.step(TryEnd::Answered, true, budget)
                        });
                        self.hedge_budget.borrow_mut().succeed();
                        return response;
                    }
                    AttemptEnd::Refused { reason, retry_after_ms } => {
                        refusal = (reason.label(), retry_after_ms);
                        // A short queue may be joined after all, on the last try, and a
                        // slow spell is over by then or waited for.
                        if !matches!(reason, RefusalReason::Full | RefusalReason::Slow) {
                            gone.push(chosen.name);
                        }
                        let declined = reason == RefusalReason::Declined;
                        let end = if declined { TryEnd::Declined } else { TryEnd::Refused };
                        (end, reason.label())
                    }
                    AttemptEnd::Lost => {
                        gone.push(chosen.name);
                        (TryEnd::Lost, "lost")
                    }
                    AttemptEnd::Claimed { row, version } => {
                        if let Some(response) = self.settle(&call, &row).await {
                            return response;
                        }
                        take_over(&mut call, version);
                        tried.clear();
                        (TryEnd::TakeOver, "take_over")
                    }
                };
            let in_time = self.clock.now() < call.deadline;
            let next = self.with_budget(&call.service, |budget| course.step(end, in_time, budget));
            if let Some(response) = self.hold_back(&call, course.give_up()) {
                return failure.unwrap_or(response);
            }
            if next != NextStep::TryAgain {
                return failure.unwrap_or_else(|| give_up(next, refusal));
            }
            info!(self.logger, "tried again"; "id" => &*call.id, "cause" => cause);
            self.metrics.retries.with_label_values(&[cause]).inc();
        }
    }

    /// Chooses a target that is not in `tried`.
    pub(crate) fn choose(&self, call: &CallerCall, tried: &[TargetName]) -> Option<ChosenTarget> {
        let mut registry = self.registry.borrow_mut();
        let targets = registry.services.get_mut(&call.service)?;
        let now = self.clock.now();
        let left = call.objective().since(now);
        let book = self.route_book.borrow();
        let outlook = book.outlook(&call.options, left, self.crossing_cost);
        let mut rng = self.rng.borrow_mut();
        let standing = self.suspects.borrow().standing(call.digest);
        let shared = standing.is_suspected();
        let shared = shared.then(|| targets.choose_shared(now, call.digest, tried, &outlook));
        let index = match shared.flatten() {
            Some(index) => index,
            None => targets.choose_for(now, call.policy, tried, &outlook, &mut rng)?,
        };
        let record = &targets.targets[index];
        let others = targets.targets.len().saturating_sub(tried.len() + 1);
        Some(ChosenTarget {
            name: record.name.clone(),
            place: record.place.clone()?,
            service_us: record.service_us(),
            load: record.load,
            load_age: now.since(record.heard),
            others,
        })
    }

    /// Tells whether a further try beside the present one would likely be in time.
    pub(crate) fn can_be_in_time(&self, call: &CallerCall, tried: &[TargetName]) -> bool {
        let now = self.clock.now();
        let book = self.route_book.borrow();
        let left = call.objective().since(now);
        let mut outlook = book.outlook(&call.options, left, self.crossing_cost);
        if !book.knows(&call.options.kind) {
            // A guess is no reason to leave a read at a target that hangs.
            outlook.work_us = 0.0;
        }
        let registry = self.registry.borrow();
        let Some(service) = registry.services.get(&call.service) else { return false };
        let mut untried = service.targets.iter().filter(|target| !tried.contains(&target.name));
        untried.any(|target| benefit::is_promising(target, now, &outlook))
    }

    fn log_choice(&self, call: &CallerCall, chosen: &ChosenTarget) {
        let revision = self.active.borrow().as_ref().map_or(0, |active| active.head.revision);
        let load = chosen.load;
        info!(self.logger, "chosen"; "id" => &*call.id, "digest" => %call.digest, "route" => &*call.options.kind, "worth" => call.options.priority.worth,
            "objective_ms" => call.options.objective_ms, "service" => %call.service,
            "target" => %chosen.name, "at" => %chosen.place.host, "revision" => revision,
            "in_flight" => load.in_flight, "queued" => load.queued, "slots" => load.slots,
            "service_us" => load.service_us, "slowness" => load.slowness,
            "load_age_us" => chosen.load_age.0, "left_us" => call.deadline.since(self.clock.now()).0);
    }

    /// Finds out about an earlier call with the same key.
    ///
    /// Returns its answer, or nothing if it is certain never to run.
    async fn settle(
        self: &Rc<Self>,
        call: &CallerCall,
        row: &ClaimRow,
    ) -> Option<Response<EntryBody>> {
        let fingerprint = call.claim.as_ref().map_or("", |claim| claim.fingerprint.as_str());
        match row.verdict(fingerprint) {
            RowVerdict::OtherRequest => {
                let status = StatusCode::UNPROCESSABLE_ENTITY;
                return Some(reply::not_run(status, "key_of_another_request", 0));
            }
            RowVerdict::Answered(answer) => return Some(reply::recorded(answer)),
            RowVerdict::Lost => return Some(reply::unknown("earlier_call_lost", None)),
            RowVerdict::AskGuard => {}
        }
        match attempt::revoke(self, row.guard, row.incarnation, row.call, call.deadline).await {
            Some(CallStatus::NotRun) => None,
            Some(CallStatus::Answered(answer)) => Some(reply::recorded(&answer)),
            Some(CallStatus::Running) => {
                Some(reply::unknown("earlier_call_running", Some(RUNNING_RETRY_MS)))
            }
            Some(CallStatus::Unknown) => Some(reply::unknown("earlier_call_lost", None)),
            None => Some(reply::unknown("earlier_guard_silent", Some(RUNNING_RETRY_MS))),
        }
    }
}

/// Makes the final answer of a call that no target answered.
fn give_up(step: NextStep, refusal: (&str, u32)) -> Response<EntryBody> {
    if step == NextStep::TellUnknown {
        return reply::unknown("lost", None);
    }
    let (reason, retry_after_ms) = refusal;
    reply::not_run(StatusCode::SERVICE_UNAVAILABLE, reason, retry_after_ms)
}

fn take_over(call: &mut CallerCall, version: u64) {
    if let Some(claim) = &mut call.claim {
        claim.takeover = Some(version);
    }
}
