//! Routing of a call: choosing targets, and retrying after failed attempts.

use std::rc::Rc;

use http::{Response, StatusCode};
use slog::info;

use super::EntryDuty;
use crate::base::call_status::{CallStatus, ClaimRow};
use crate::base::clock::MicroTime;
use crate::base::ids::TargetName;
use crate::base::load_report::LoadReport;
use crate::base::wire::{RefusalReason, RevokeHead};
use crate::call::entry::attempt::{AttemptEnd, LossCause};
use crate::call::entry::intake::{CallerCall, NOT_READY_RETRY_MS};
use crate::call::entry::load_probe;
use crate::call::entry::{exchange, hedge, revocation};
use crate::call::responses::{self, ResponseBody};
use crate::decide::benefit;
use crate::decide::call_ledger::ClaimVerdict;
use crate::decide::crossing::LocalQueueing;
use crate::decide::retry::{AttemptResult, CallAttempts, RetryDecision};
use crate::decide::selection::TargetLocation;

/// Retry delay while an earlier call with the same key is running, in milliseconds.
const RUNNING_RETRY_MS: u32 = 500;

/// A target that was chosen for an attempt.
#[derive(Debug)]
pub(crate) struct ChosenTarget {
    pub(crate) name: TargetName,
    pub(crate) location: TargetLocation,
    /// Reported time that the target takes for a call, or an assumed one, in microseconds.
    pub(crate) service_us: f64,
    /// Load report that the choice was based on.
    pub(crate) load: LoadReport,
    /// Age of the load report at the time of the choice.
    pub(crate) load_age: MicroTime,
    /// Number of other targets that have not been tried and may start a call in time.
    pub(crate) untried: usize,
    /// Whether the call may wait there although others are left.
    pub(crate) queues: bool,
}

impl EntryDuty {
    /// Attempts a call at one target after the other, until one answers or no further
    /// attempt is allowed.
    pub(super) async fn route(self: &Rc<Self>, mut call: CallerCall) -> Response<ResponseBody> {
        let mut tried: Vec<TargetName> = Vec::new();
        // The tried targets that would not serve another attempt soon.
        let mut unusable: Vec<TargetName> = Vec::new();
        let mut attempts = CallAttempts::open(call.options.repeatable, call.options.attempts);
        let mut local_queueing = LocalQueueing::default();
        let mut refusal = ("no_target", NOT_READY_RETRY_MS);
        let mut loss = LossCause::NoAnswer;
        // A target's server error, returned if no other target answers.
        let mut failure: Option<Response<ResponseBody>> = None;
        loop {
            if let Some(response) = self.reject_blamed(&call, attempts.failure_decision()) {
                return failure.unwrap_or(response);
            }
            if let Some(response) = self.reject_revoked(&call, attempts.failure_decision()) {
                return failure.unwrap_or(response);
            }
            let last_round = attempts.is_last_attempt() || self.only_limited_left(&call, &tried);
            if last_round {
                // A target that was full may still have the shortest queue of all.
                tried = self.left_out_of_last_round(&call, &unusable);
            }
            let elsewhere = self.left_out_of_local_queueing(&call, &tried, &mut local_queueing);
            let Some(mut chosen) = self.choose(&call, elsewhere.as_ref().unwrap_or(&tried)) else {
                let decision = attempts.failure_decision();
                return failure.unwrap_or_else(|| final_response(decision, loss, refusal));
            };
            chosen.queues = elsewhere.is_some();
            load_probe::probe_random_target(self, &call.service);
            self.log_choice(&call, &chosen);
            tried.push(chosen.name.clone());
            let last_target = last_round || (chosen.untried == 0 && !chosen.queues);
            let (result, cause) = match hedge::run(
                self,
                &call,
                &chosen,
                &mut attempts,
                last_target,
                &mut tried,
            )
            .await
            {
                AttemptEnd::Answered(response) if response.status().is_server_error() => {
                    unusable.push(chosen.name);
                    failure = Some(response);
                    (AttemptResult::Failed, "failed")
                }
                AttemptEnd::Answered(response) => {
                    self.with_retry_budget(&call.service, |budget| {
                        attempts.record(AttemptResult::Answered, true, budget)
                    });
                    self.hedge_budget.borrow_mut().record_success();
                    return response;
                }
                AttemptEnd::Refused { reason, retry_after_ms } => {
                    refusal = (reason.label(), retry_after_ms);
                    // A full or slow target may be chosen again for the last attempt:
                    // its queue may be the shortest, and a slow period is over by then
                    // or the call waits for its end.
                    if !matches!(reason, RefusalReason::Full | RefusalReason::Slow) {
                        unusable.push(chosen.name);
                    }
                    let result = match reason {
                        RefusalReason::Declined => AttemptResult::Declined,
                        RefusalReason::Downstream => AttemptResult::Downstream,
                        _ => AttemptResult::Refused,
                    };
                    (result, reason.label())
                }
                AttemptEnd::Lost(cause) => {
                    loss = cause;
                    unusable.push(chosen.name);
                    (AttemptResult::Lost, "lost")
                }
                AttemptEnd::Claimed { row, version } => {
                    if let Some(response) = self.resolve_claim(&call, &row).await {
                        return response;
                    }
                    take_over_claim(&mut call, version);
                    tried.clear();
                    (AttemptResult::TakeOver, "take_over")
                }
            };
            let in_time = revocation::has_time_left(self, &call, self.clock.now());
            let next = self.with_retry_budget(&call.service, |budget| {
                attempts.record(result, in_time, budget)
            });
            if let Some(response) = self.reject_blamed(&call, attempts.failure_decision()) {
                return failure.unwrap_or(response);
            }
            if next != RetryDecision::Retry {
                return failure.unwrap_or_else(|| final_response(next, loss, refusal));
            }
            info!(self.logger, "retrying"; "id" => &*call.request_id, "cause" => cause);
            self.metrics.retries.with_label_values(&[cause]).inc();
        }
    }

    /// Chooses a target that is not in `tried`.
    ///
    /// All entries send a suspected request to the same target, if one would serve it in
    /// time.
    pub(crate) fn choose(&self, call: &CallerCall, tried: &[TargetName]) -> Option<ChosenTarget> {
        let mut registry = self.registry.borrow_mut();
        let targets = registry.services.get_mut(&call.service)?;
        let now = self.clock.now();
        let remaining = call.objective().since(now);
        let stats = self.route_stats.borrow();
        let estimate = stats.estimate(&call.options, remaining, self.crossing_cost);
        let mut rng = self.rng.borrow_mut();
        let suspect = self.suspects.borrow().record(call.digest);
        let is_suspected = suspect.is_suspected();
        let by_digest =
            is_suspected.then(|| targets.choose_by_digest(now, call.digest, tried, &estimate));
        let index = match by_digest.flatten() {
            Some(index) => index,
            None => targets.choose_for(now, call.policy, tried, &estimate, &mut rng)?,
        };
        let record = &targets.targets[index];
        let untried = targets.count_with_room(now, tried, index, &estimate);
        Some(ChosenTarget {
            name: record.name.clone(),
            location: record.location.clone()?,
            service_us: record.service_us(),
            load: record.load,
            load_age: now.since(record.reported_at),
            untried,
            queues: false,
        })
    }

    /// Returns whether an attempt at a target that is not in `tried`, started now, would
    /// probably be in time.
    pub(crate) fn can_be_in_time(&self, call: &CallerCall, tried: &[TargetName]) -> bool {
        let now = self.clock.now();
        let stats = self.route_stats.borrow();
        let remaining = call.objective().since(now);
        let mut estimate = stats.estimate(&call.options, remaining, self.crossing_cost);
        if !stats.knows(&call.options.kind) {
            // An assumed work time is no reason to keep a read waiting at a target that hangs;
            // with zero, the service times that the targets report are used instead.
            estimate.work_us = 0.0;
        }
        let registry = self.registry.borrow();
        let Some(service) = registry.services.get(&call.service) else { return false };
        let mut untried = service.targets.iter().filter(|target| !tried.contains(&target.name));
        untried.any(|target| benefit::is_promising(target, now, &estimate))
    }

    /// Returns the targets to leave out of an attempt that queues in the own data centre, or
    /// `None` if the attempt may go to any target that is not in `tried`.
    fn left_out_of_local_queueing(
        &self,
        call: &CallerCall,
        tried: &[TargetName],
        local_queueing: &mut LocalQueueing,
    ) -> Option<Vec<TargetName>> {
        let now = self.clock.now();
        let remaining = call.objective().since(now);
        let stats = self.route_stats.borrow();
        let estimate =
            stats.estimate_with_body(&call.options, remaining, self.crossing_cost, call.body.len());
        // All entries send a suspected request to the same target.
        if self.suspect_record(call).is_suspected() {
            return None;
        }
        let registry = self.registry.borrow();
        let targets = &registry.services.get(&call.service)?.targets;
        local_queueing.left_out(now, targets, tried, &estimate)
    }

    fn only_limited_left(&self, call: &CallerCall, tried: &[TargetName]) -> bool {
        let registry = self.registry.borrow();
        let now = self.clock.now();
        let service = registry.services.get(&call.service);
        !tried.is_empty() && service.is_some_and(|service| service.only_limited_left(now, tried))
    }

    fn left_out_of_last_round(
        &self,
        call: &CallerCall,
        unusable: &[TargetName],
    ) -> Vec<TargetName> {
        let registry = self.registry.borrow();
        let service = registry.services.get(&call.service);
        service.map_or_else(Vec::new, |service| service.left_out_of_last_round(unusable))
    }

    fn log_choice(&self, call: &CallerCall, chosen: &ChosenTarget) {
        let revision = self.active.borrow().as_ref().map_or(0, |active| active.head.revision);
        let load = chosen.load;
        info!(self.logger, "chosen"; "id" => &*call.request_id, "digest" => %call.digest,
            "route" => &*call.options.kind, "worth" => call.options.priority.worth,
            "objective_ms" => call.options.objective_ms, "service" => %call.service,
            "target" => %chosen.name, "at" => %chosen.location.host, "revision" => revision,
            "in_flight" => load.in_flight, "queued" => load.queued, "slots" => load.slots,
            "service_us" => load.service_us, "slowness" => load.slowness,
            "load_age_us" => chosen.load_age.0,
            "queues" => chosen.queues, "rate_left" => load.rate.map(|rate| rate.available),
            "left_us" => call.deadline.since(self.clock.now()).0);
    }

    /// Determines the outcome of an earlier call with the same idempotency key.
    ///
    /// Returns the response that follows from it, or `None` if the earlier call will never
    /// run, so that this one may.
    async fn resolve_claim(
        self: &Rc<Self>,
        call: &CallerCall,
        row: &ClaimRow,
    ) -> Option<Response<ResponseBody>> {
        let fingerprint = call.claim.as_ref().map_or("", |claim| claim.fingerprint.as_str());
        match row.verdict(fingerprint) {
            ClaimVerdict::KeyReused => {
                let status = StatusCode::UNPROCESSABLE_ENTITY;
                return Some(responses::not_run(status, "key_of_another_request", 0));
            }
            ClaimVerdict::Answered(answer) => return Some(responses::recorded(answer)),
            ClaimVerdict::Unknown => return Some(responses::unknown("earlier_call_lost", None)),
            ClaimVerdict::AskGuard => {}
        }
        let head = RevokeHead { call: row.call, incarnation: row.incarnation, sent: None };
        match exchange::revoke(self, row.guard, head, call.deadline).await {
            Some(CallStatus::NotRun) => None,
            Some(CallStatus::Answered(answer)) => Some(responses::recorded(&answer)),
            Some(CallStatus::Running) => {
                Some(responses::unknown("earlier_call_running", Some(RUNNING_RETRY_MS)))
            }
            Some(CallStatus::Unknown) => Some(responses::unknown("earlier_call_lost", None)),
            None => Some(responses::unknown("earlier_guard_silent", Some(RUNNING_RETRY_MS))),
        }
    }
}

/// Creates the response to a call that no target answered.
fn final_response(
    decision: RetryDecision,
    loss: LossCause,
    refusal: (&str, u32),
) -> Response<ResponseBody> {
    if decision == RetryDecision::ReportUnknown {
        return match loss {
            LossCause::NoAnswer => responses::unknown("lost", None),
            LossCause::InvalidAnswer => responses::invalid_answer(),
        };
    }
    let (reason, retry_after_ms) = refusal;
    responses::not_run(StatusCode::SERVICE_UNAVAILABLE, reason, retry_after_ms)
}

fn take_over_claim(call: &mut CallerCall, version: u64) {
    if let Some(claim) = &mut call.claim {
        claim.takeover = Some(version);
    }
}
