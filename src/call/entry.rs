//! The duty that takes calls and chooses targets for them.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use slog::{Logger, info, warn};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{oneshot, watch};
use tokio::task::spawn_local;

use crate::base::clock::{MicroTime, ProcessClock};
use crate::base::consts::SLOW_SENDER;
use crate::base::ids::{CentreName, ServiceName, TargetName};
use crate::base::metrics::DaemonMetrics;
use crate::base::ring::RingInbox;
use crate::base::wire::{LoadWord, RefusalReason};
use crate::call::attempt::{self, AttemptEnd};
use crate::call::headers::{self, HeaderNames};
use crate::call::hedge;
use crate::call::intake::{self, CallerCall, NOT_READY_RETRY_MS};
use crate::call::pool::GuardPool;
use crate::call::reply::{self, EntryBody};
use crate::call::route_book::RouteBook;
use crate::decide::benefit;
use crate::decide::outcome::{CallFate, ClaimRow, RowVerdict};
use crate::decide::probe::ProbeBudget;
use crate::decide::registry::TargetRegistry;
use crate::decide::retry::{CallCourse, NextStep, RetryBudget, RetryShare, TryEnd};
use crate::decide::selection::TargetPlace;
use crate::fleet::member::FleetView;
use crate::process::control::DaemonReadiness;
use crate::process::events::EntryEvent;
use crate::process::settings::BudgetSettings;
use crate::rules::config::FleetConfig;
use crate::rules::revision::ActiveRevision;

/// When to come back while an earlier call with the key still runs.
const RUNNING_RETRY_MS: u32 = 500;

/// The state that this duty's tasks share.
pub(crate) struct EntryDuty {
    pub(crate) clock: ProcessClock,
    pub(crate) registry: RefCell<TargetRegistry>,
    pub(crate) pool: GuardPool,
    pub(crate) metrics: Arc<DaemonMetrics>,
    pub(crate) probe_budget: RefCell<ProbeBudget>,
    pub(crate) probe_socket: UdpSocket,
    pub(crate) rng: RefCell<Pcg64Mcg>,
    pub(crate) hedge_budget: RefCell<RetryBudget>,
    /// What this daemon may add to a service's calls.
    retry_budgets: RefCell<HashMap<ServiceName, RetryBudget>>,
    retry_share: Cell<RetryShare>,
    /// The most daemons that were ever in the fleet's view.
    fleet_size: Cell<usize>,
    pub(crate) names: &'static HeaderNames,
    data_centre: CentreName,
    /// What a thousand bytes between data centres cost, in benefits of a call.
    crossing_cost: f64,
    /// Times and sizes of calls, by route.
    pub(crate) route_book: RefCell<RouteBook>,
    /// Targets whose load this entry is told.
    pub(crate) watched: Cell<usize>,
    /// The service of the host's target.
    pub(crate) own_service: Option<ServiceName>,
    readiness: DaemonReadiness,
    /// Set once callers are asked to go elsewhere.
    withdrawn: Cell<bool>,
    active: RefCell<Option<ActiveRevision>>,
    least_revision: RefCell<Option<u64>>,
    /// Connections of callers.
    open: watch::Sender<usize>,
    stopping: watch::Sender<bool>,
    pub(crate) logger: Logger,
}

/// What the duty needs to run.
#[derive(Debug)]
pub(crate) struct EntryParts {
    pub(crate) seed: u64,
    pub(crate) names: &'static HeaderNames,
    pub(crate) data_centre: CentreName,
    pub(crate) crossing_cost: f64,
    pub(crate) own_service: Option<ServiceName>,
    pub(crate) retry_share: RetryShare,
    pub(crate) readiness: DaemonReadiness,
    pub(crate) probe_budget: BudgetSettings,
    pub(crate) listener: std::net::TcpListener,
    pub(crate) probe_socket: std::net::UdpSocket,
}

/// A target as it was chosen for a try.
#[derive(Debug)]
pub(crate) struct ChosenTarget {
    pub(crate) name: TargetName,
    pub(crate) place: TargetPlace,
    /// Time it takes for a call, as far as known, in microseconds.
    pub(crate) service_us: f64,
    /// What the choice was made on, and its age.
    pub(crate) load: LoadWord,
    pub(crate) load_age: MicroTime,
    /// Targets that stay untried.
    pub(crate) others: usize,
}

/// Runs the duty until the thread's runtime ends.
pub(crate) async fn run(
    parts: EntryParts,
    mut inbox: RingInbox<EntryEvent>,
    metrics: Arc<DaemonMetrics>,
    logger: Logger,
) {
    let listener = TcpListener::from_std(parts.listener);
    let probe_socket = UdpSocket::from_std(parts.probe_socket);
    let (Ok(listener), Ok(probe_socket)) = (listener, probe_socket) else { return };
    let budget = parts.probe_budget;
    let duty = Rc::new(EntryDuty {
        clock: ProcessClock::open(),
        registry: RefCell::default(),
        pool: GuardPool::default(),
        metrics,
        probe_budget: RefCell::new(ProbeBudget::open(budget.messages_per_s, budget.bytes_per_s)),
        probe_socket,
        rng: RefCell::new(Pcg64Mcg::seed_from_u64(parts.seed)),
        hedge_budget: RefCell::new(RetryBudget::open_hedges()),
        retry_budgets: RefCell::default(),
        retry_share: Cell::new(parts.retry_share),
        fleet_size: Cell::new(1),
        names: parts.names,
        data_centre: parts.data_centre,
        crossing_cost: parts.crossing_cost,
        route_book: RefCell::default(),
        watched: Cell::new(0),
        own_service: parts.own_service,
        readiness: parts.readiness,
        withdrawn: Cell::new(false),
        active: RefCell::default(),
        least_revision: RefCell::default(),
        open: watch::Sender::new(0),
        stopping: watch::Sender::new(false),
        logger,
    });
    spawn_local(Rc::clone(&duty).accept(listener));
    spawn_local(crate::call::measure::hear_replies(Rc::clone(&duty)));
    loop {
        duty.handle(inbox.next().await);
    }
}

impl EntryDuty {
    fn handle(self: &Rc<Self>, event: EntryEvent) {
        match event {
            EntryEvent::Fleet(view) => self.adopt(&view),
            EntryEvent::Config(active) => {
                *self.active.borrow_mut() = Some(active);
                self.tell_readiness();
            }
            EntryEvent::Joined { least_revision } => {
                *self.least_revision.borrow_mut() = Some(least_revision);
                self.tell_readiness();
            }
            EntryEvent::Share(share) => {
                self.retry_share.set(share);
                self.retry_budgets.borrow_mut().clear();
            }
            EntryEvent::Withdraw => {
                self.withdrawn.set(true);
                self.tell_readiness();
            }
            EntryEvent::Dump(reply) => drop(reply.send(self.dump())),
            EntryEvent::Stop(done) => {
                spawn_local(Rc::clone(self).stop(done));
            }
        }
    }

    fn adopt(&self, view: &FleetView) {
        self.registry.borrow_mut().adopt(self.clock.now(), view, &self.data_centre);
        let guards: std::collections::HashSet<_> =
            view.serving().map(|member| (member.guard, member.incarnation)).collect();
        self.fleet_size.set(self.fleet_size.get().max(guards.len()));
        self.pool.retain(|key| guards.contains(key));
    }

    fn tell_readiness(&self) {
        self.readiness.set(self.config().is_some() && !self.withdrawn.get());
    }

    /// Lets a service's budget do something, such as grant a further try.
    pub(crate) fn with_budget<T>(
        &self,
        service: &ServiceName,
        act: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut budgets = self.retry_budgets.borrow_mut();
        let open = || self.retry_share.get().open(self.fleet_size.get());
        act(budgets.entry(service.clone()).or_insert_with(open))
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        let mut stopping = self.stopping.subscribe();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let Ok((socket, _)) = accepted else { continue };
                    spawn_local(Rc::clone(&self).serve_connection(socket));
                }
                // Closing the listener turns new callers to another daemon.
                _ = stopping.wait_for(|stopping| *stopping) => return,
            }
        }
    }

    async fn serve_connection(self: Rc<Self>, socket: TcpStream) {
        drop(socket.set_nodelay(true));
        self.open.send_modify(|open| *open += 1);
        let duty = Rc::clone(&self);
        let serve = service_fn(move |request| {
            let duty = Rc::clone(&duty);
            async move { Ok::<_, Infallible>(duty.serve(request).await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(self.idle_limit())
            .serve_connection(TokioIo::new(socket), serve);
        let mut connection = std::pin::pin!(connection);
        let mut stopping = self.stopping.subscribe();
        let stopped = tokio::select! {
            // A caller's broken connection is its own affair.
            _ = connection.as_mut() => false,
            _ = stopping.wait_for(|stopping| *stopping) => true,
        };
        if stopped {
            connection.as_mut().graceful_shutdown();
            drop(connection.await);
        }
        self.open.send_modify(|open| *open -= 1);
    }

    /// Returns how long a kept connection may stay without a whole head.
    fn idle_limit(&self) -> Duration {
        let active = self.active.borrow();
        let Some(active) = active.as_ref() else { return SLOW_SENDER };
        let limits = &active.config.limits;
        let parts = [limits.idle_timeout_ms, limits.head_timeout_ms];
        let set: u32 = parts.iter().flatten().sum();
        SLOW_SENDER.max(Duration::from_millis(u64::from(set)))
    }

    async fn serve(self: Rc<Self>, request: Request<Incoming>) -> Response<EntryBody> {
        let since = self.clock.now();
        let id = self.names.request_id.and_then(|name| headers::text(request.headers(), name));
        let id: Arc<str> = Arc::from(id.unwrap_or_default());
        let open = OpenCall { duty: &self, id: &id, since, answered: Cell::new(false) };
        let mut response = match intake::receive(&self, request, &id).await {
            Ok(call) => self.route(call).await,
            Err(refusal) => refusal,
        };
        let outcome = response.headers().get(headers::OUTCOME);
        let outcome = outcome.and_then(|value| value.to_str().ok()).unwrap_or("none");
        self.metrics.calls.with_label_values(&[outcome]).inc();
        let took = self.clock.now().since(since);
        self.metrics.latency.observe(took.duration().as_secs_f64());
        open.answered.set(true);
        self.log_answer(&id, &response, took);
        self.finish_head(&mut response);
        response
    }

    fn log_answer(&self, id: &str, response: &Response<EntryBody>, took: MicroTime) {
        let text = |name| headers::text(response.headers(), name).unwrap_or_default();
        let (outcome, reason) = (text(headers::OUTCOME), text(headers::REASON));
        let status = response.status().as_u16();
        if reason.is_empty() {
            info!(self.logger, "answered"; "id" => id, "status" => status, "took_us" => took.0,
                "target" => text(headers::TARGET));
        } else {
            warn!(self.logger, "given up"; "id" => id, "status" => status, "took_us" => took.0,
                "outcome" => outcome, "reason" => reason,
                "retry_after_ms" => text(headers::RETRY_AFTER_MS));
        }
    }

    /// Brings an answer's head into the form that callers here expect.
    fn finish_head(&self, response: &mut Response<EntryBody>) {
        let headers = response.headers_mut();
        let retry_ms = headers::text(headers, headers::RETRY_AFTER_MS);
        if let Some(ms) = retry_ms.and_then(|ms| ms.parse::<u32>().ok()) {
            headers.insert(RETRY_AFTER, self.retry_after(ms));
        }
        if !self.names.call_facts {
            for name in headers::OWN_FACTS {
                headers.remove(*name);
            }
        }
        if self.withdrawn.get() {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
    }

    /// Returns the wait of a refused caller in seconds, with fractions where
    /// callers here read them.
    fn retry_after(&self, ms: u32) -> HeaderValue {
        let whole = HeaderValue::from(ms.div_ceil(1_000).max(1));
        if !self.names.fractional_retry {
            return whole;
        }
        let seconds = format!("{:.3}", f64::from(ms) / 1_000.0);
        HeaderValue::from_str(&seconds).unwrap_or(whole)
    }

    /// Returns the configuration, if calls may be served by it.
    pub(crate) fn config(&self) -> Option<Arc<FleetConfig>> {
        let active = self.active.borrow();
        let active = active.as_ref()?;
        let least = (*self.least_revision.borrow())?;
        (active.head.revision >= least).then(|| Arc::clone(&active.config))
    }

    /// Tries targets until one answers, or until no further try is allowed.
    async fn route(self: &Rc<Self>, mut call: CallerCall) -> Response<EntryBody> {
        let mut tried: Vec<TargetName> = Vec::new();
        // Of those, the ones that will not be free again soon.
        let mut gone: Vec<TargetName> = Vec::new();
        let mut course = CallCourse::open(call.terms.repeatable, call.terms.attempts);
        let mut refusal = ("no_target", NOT_READY_RETRY_MS);
        // A target's own answer, kept while another target is tried.
        let mut failure: Option<Response<EntryBody>> = None;
        loop {
            if course.is_last_try() {
                // Where it was full there may be the shortest queue all the same.
                tried.retain(|name| gone.contains(name));
            }
            let Some(chosen) = self.choose(&call, &tried) else {
                return failure.unwrap_or_else(|| give_up(course.give_up(), refusal));
            };
            crate::call::measure::probe_some(self, &call.service);
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
        let outlook = self.route_book.borrow().outlook(call, now, self.crossing_cost);
        let mut rng = self.rng.borrow_mut();
        let index = targets.choose_for(now, call.policy, tried, &outlook, &mut rng)?;
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
        let mut outlook = book.outlook(call, now, self.crossing_cost);
        if !book.knows(&call.terms.kind) {
            // A guess is no reason to leave a read at a target that hangs.
            outlook.work_us = 0.0;
        }
        let registry = self.registry.borrow();
        let Some(service) = registry.services.get(&call.service) else { return false };
        let mut untried = service.targets.iter().filter(|target| !tried.contains(&target.name));
        untried.any(|target| benefit::is_promising(target, now, &outlook))
    }

    /// Returns the factor by which a target's host is slower than usual now.
    pub(crate) fn slowness_of(&self, service: &ServiceName, target: &TargetName) -> f64 {
        let mut registry = self.registry.borrow_mut();
        let record = registry.find(service, target);
        record.map_or(1.0, |record| benefit::slowness_now(record, self.clock.now()))
    }

    /// Returns the time by the clock of a target's guard, as far as it is known.
    pub(crate) fn time_at_guard(
        &self,
        service: &ServiceName,
        target: &TargetName,
    ) -> Option<MicroTime> {
        let mut registry = self.registry.borrow_mut();
        let lead = registry.find(service, target)?.clock_lead?;
        Some(lead.theirs(self.clock.now()))
    }

    /// Notes whether a target is watched; `false` if that was known already.
    pub(crate) fn mark_watched(
        &self,
        service: &ServiceName,
        target: &TargetName,
        watched: bool,
    ) -> bool {
        let mut registry = self.registry.borrow_mut();
        let record = registry.find(service, target);
        record.is_some_and(|record| std::mem::replace(&mut record.watched, watched) != watched)
    }

    /// Notes a target's load, unless a newer word is known.
    pub(crate) fn hear_load(&self, service: &ServiceName, target: &TargetName, load: LoadWord) {
        let now = self.clock.now();
        let mut registry = self.registry.borrow_mut();
        if let Some(record) = registry.find(service, target) {
            record.hear(now, load);
        }
    }

    fn log_choice(&self, call: &CallerCall, chosen: &ChosenTarget) {
        let revision = self.active.borrow().as_ref().map_or(0, |active| active.head.revision);
        let load = chosen.load;
        info!(self.logger, "chosen"; "id" => &*call.id, "route" => &*call.terms.kind, "worth" => call.terms.priority.worth,
            "objective_ms" => call.terms.objective_ms, "service" => %call.service,
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
        let print = call.claim.as_ref().map_or("", |claim| claim.print.as_str());
        match row.verdict(print) {
            RowVerdict::OtherRequest => {
                let status = StatusCode::UNPROCESSABLE_ENTITY;
                return Some(reply::not_run(status, "key_of_another_request", 0));
            }
            RowVerdict::Answered(answer) => return Some(reply::recorded(answer)),
            RowVerdict::Lost => return Some(reply::unknown("earlier_call_lost", None)),
            RowVerdict::AskGuard => {}
        }
        match attempt::revoke(self, row.guard, row.incarnation, row.call, call.deadline).await {
            Some(CallFate::NotRun) => None,
            Some(CallFate::Answered(answer)) => Some(reply::recorded(&answer)),
            Some(CallFate::Running) => {
                Some(reply::unknown("earlier_call_running", Some(RUNNING_RETRY_MS)))
            }
            Some(CallFate::Unknown) => Some(reply::unknown("earlier_call_lost", None)),
            None => Some(reply::unknown("earlier_guard_silent", Some(RUNNING_RETRY_MS))),
        }
    }

    /// Takes no new calls and waits for the old to end.
    async fn stop(self: Rc<Self>, done: oneshot::Sender<()>) {
        info!(self.logger, "entry stops"; "connections" => *self.open.borrow());
        self.stopping.send_replace(true);
        let mut open = self.open.subscribe();
        // Fails only when the duty itself is gone.
        drop(open.wait_for(|open| *open == 0).await);
        _ = done.send(());
    }

    fn dump(&self) -> Value {
        json!({
            "ready": self.config().is_some(),
            "revision": self.active.borrow().as_ref().map(|active| active.head.revision),
            "least_revision": *self.least_revision.borrow(),
            "services": self.registry.borrow().services,
            "retry_budgets": *self.retry_budgets.borrow(),
            "hedge_budget": *self.hedge_budget.borrow(),
            "probe_budget": *self.probe_budget.borrow(),
            "caller_connections": *self.open.borrow(),
            "guard_connections": self.pool.len(),
            "now": self.clock.now(),
        })
    }
}

/// A call that is being served; dropped before its answer, its caller has left.
struct OpenCall<'a> {
    duty: &'a EntryDuty,
    id: &'a str,
    since: MicroTime,
    answered: Cell<bool>,
}

impl Drop for OpenCall<'_> {
    fn drop(&mut self) {
        if !self.answered.get() {
            let after = self.duty.clock.now().since(self.since);
            info!(self.duty.logger, "caller left"; "id" => self.id, "after_us" => after.0);
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
