//! The duty that takes calls and chooses targets for them.

use std::cell::RefCell;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use slog::{Logger, info};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::attempt::{self, AttemptEnd};
use crate::clock::{MicroTime, ProcessClock};
use crate::config::{CallTerms, FleetConfig};
use crate::consts::{MAX_DEADLINE_MS, MAX_KEY, MAX_REQUEST_BODY, SLOW_SENDER};
use crate::headers;
use crate::hedge;
use crate::ids::{AccountName, ServiceName, TargetName};
use crate::member::FleetView;
use crate::metrics::DaemonMetrics;
use crate::outcome::{CallFate, ClaimRow, RowVerdict};
use crate::pool::GuardPool;
use crate::probe::ProbeBudget;
use crate::reply::{self, EntryBody};
use crate::retry::{CallCourse, NextStep, RetryBudget, TryEnd};
use crate::revision::ActiveRevision;
use crate::ring::RingInbox;
use crate::selection::{SelectionPolicy, TargetPlace, TargetRegistry};
use crate::settings::BudgetSettings;
use crate::wire::KeyClaim;

/// When to come back to a daemon that is not ready, in milliseconds.
const NOT_READY_RETRY_MS: u32 = 500;

/// When to come back while an earlier call with the key still runs.
const RUNNING_RETRY_MS: u32 = 500;

/// What others tell this duty.
#[derive(Debug)]
pub(crate) enum EntryEvent {
    /// Who is in the fleet.
    Fleet(Arc<FleetView>),
    /// A revision came in force.
    Config(ActiveRevision),
    /// The daemon asked its peers; calls may be served from this revision on.
    Joined { least_revision: u64 },
    /// Tell the state.
    Dump(oneshot::Sender<Value>),
    /// Take no new calls, finish the old, then tell.
    Stop(oneshot::Sender<()>),
}

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
    retry_budget: RefCell<RetryBudget>,
    active: RefCell<Option<ActiveRevision>>,
    least_revision: RefCell<Option<u64>>,
    /// Connections of callers.
    open: watch::Sender<usize>,
    stopping: watch::Sender<bool>,
    logger: Logger,
}

/// What the duty needs to run.
#[derive(Debug)]
pub(crate) struct EntryParts {
    pub(crate) seed: u64,
    pub(crate) probe_budget: BudgetSettings,
    pub(crate) listener: std::net::TcpListener,
    pub(crate) probe_socket: std::net::UdpSocket,
}

/// One call as its caller made it.
#[derive(Debug)]
pub(crate) struct CallerCall {
    pub(crate) service: ServiceName,
    pub(crate) account: AccountName,
    pub(crate) share: u16,
    pub(crate) policy: &'static SelectionPolicy,
    pub(crate) terms: CallTerms,
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) headers: headers::HeaderList,
    pub(crate) body: Bytes,
    pub(crate) deadline: MicroTime,
    pub(crate) claim: Option<KeyClaim>,
}

/// A target as it was chosen for a try.
#[derive(Debug)]
pub(crate) struct ChosenTarget {
    pub(crate) name: TargetName,
    pub(crate) place: TargetPlace,
    /// Time it takes for a call, as far as known, in microseconds.
    pub(crate) service_us: f64,
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
        retry_budget: RefCell::new(RetryBudget::open()),
        active: RefCell::default(),
        least_revision: RefCell::default(),
        open: watch::Sender::new(0),
        stopping: watch::Sender::new(false),
        logger,
    });
    spawn_local(Rc::clone(&duty).accept(listener));
    spawn_local(crate::measure::hear_replies(Rc::clone(&duty)));
    loop {
        duty.handle(inbox.next().await);
    }
}

impl EntryDuty {
    fn handle(self: &Rc<Self>, event: EntryEvent) {
        match event {
            EntryEvent::Fleet(view) => self.adopt(&view),
            EntryEvent::Config(active) => *self.active.borrow_mut() = Some(active),
            EntryEvent::Joined { least_revision } => {
                *self.least_revision.borrow_mut() = Some(least_revision);
            }
            EntryEvent::Dump(reply) => drop(reply.send(self.dump())),
            EntryEvent::Stop(done) => {
                spawn_local(Rc::clone(self).stop(done));
            }
        }
    }

    fn adopt(&self, view: &FleetView) {
        self.registry.borrow_mut().adopt(self.clock.now(), view);
        let guards: std::collections::HashSet<_> =
            view.serving().map(|member| (member.guard, member.incarnation)).collect();
        self.pool.retain(|key| guards.contains(key));
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
            .header_read_timeout(SLOW_SENDER)
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

    async fn serve(self: Rc<Self>, request: Request<Incoming>) -> Response<EntryBody> {
        let since = self.clock.now();
        let response = match self.receive(request).await {
            Ok(call) => self.route(call).await,
            Err(refusal) => refusal,
        };
        let outcome = response.headers().get(headers::OUTCOME);
        let outcome = outcome.and_then(|value| value.to_str().ok()).unwrap_or("none");
        self.metrics.calls.with_label_values(&[outcome]).inc();
        let took = self.clock.now().since(since);
        self.metrics.latency.observe(took.duration().as_secs_f64());
        response
    }

    /// Reads and checks a call; `Err` is the answer to a bad one.
    async fn receive(&self, request: Request<Incoming>) -> Result<CallerCall, Response<EntryBody>> {
        let (parts, body) = request.into_parts();
        let config = self.config().ok_or_else(|| {
            reply::not_run(StatusCode::SERVICE_UNAVAILABLE, "not_ready", NOT_READY_RETRY_MS)
        })?;
        let refuse = |status, reason| reply::not_run(status, reason, 0);
        let account = bearer(&parts.headers).and_then(|token| config.account(token));
        let account = account.ok_or_else(|| refuse(StatusCode::UNAUTHORIZED, "no_account"))?;
        let target = parts.uri.path_and_query().map_or("/", http::uri::PathAndQuery::as_str);
        let (service, path) = split_path(target);
        let service = config.service(service);
        let service = service.ok_or_else(|| refuse(StatusCode::NOT_FOUND, "no_service"))?;
        let terms = config.terms(service, account, parts.method.as_str(), &path);
        let deadline_ms = deadline_of(&parts.headers, terms.deadline_ms)
            .ok_or_else(|| refuse(StatusCode::BAD_REQUEST, "bad_deadline"))?;
        let deadline = self.clock.now() + MicroTime::from_millis(u64::from(deadline_ms));
        let body = read_body(body, &parts.headers).await?;
        let mut call = CallerCall {
            service: service.name.clone(),
            account: account.name.clone(),
            share: account.share,
            policy: service.selection_policy(),
            terms,
            method: parts.method.to_string(),
            path,
            headers: headers::forward_request(&parts.headers),
            body,
            deadline,
            claim: None,
        };
        if !call.terms.repeatable {
            let key = idempotency_key(&parts.headers);
            let key = key.ok_or_else(|| refuse(StatusCode::BAD_REQUEST, "no_idempotency_key"))?;
            call.claim = Some(make_claim(&call, key));
        }
        Ok(call)
    }

    /// Returns the configuration, if calls may be served by it.
    fn config(&self) -> Option<Arc<FleetConfig>> {
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
        let mut course = CallCourse::open(call.terms.repeatable);
        let mut refusal = ("no_target", NOT_READY_RETRY_MS);
        loop {
            if course.is_last_try() {
                // Where it was full there may be the shortest queue all the same.
                tried.retain(|name| gone.contains(name));
            }
            let Some(chosen) = self.choose(&call, &tried) else {
                return give_up(course.give_up(), refusal);
            };
            crate::measure::probe_some(self, &call.service);
            tried.push(chosen.name.clone());
            let last = course.is_last_try() || chosen.others == 0;
            let (end, cause) = match hedge::run(self, &call, &chosen, last, &mut tried).await {
                AttemptEnd::Answered(response) => {
                    course.step(TryEnd::Answered, true, &mut self.retry_budget.borrow_mut());
                    self.hedge_budget.borrow_mut().succeed();
                    return response;
                }
                AttemptEnd::Refused { reason, retry_after_ms } => {
                    refusal = (reason.label(), retry_after_ms);
                    if !reason.is_load() {
                        gone.push(chosen.name);
                    }
                    (TryEnd::Refused, reason.label())
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
            let next = course.step(end, in_time, &mut self.retry_budget.borrow_mut());
            if next != NextStep::TryAgain {
                return give_up(next, refusal);
            }
            self.metrics.retries.with_label_values(&[cause]).inc();
        }
    }

    /// Chooses a target that is not in `tried`.
    pub(crate) fn choose(&self, call: &CallerCall, tried: &[TargetName]) -> Option<ChosenTarget> {
        let mut registry = self.registry.borrow_mut();
        let targets = registry.services.get_mut(&call.service)?;
        let now = self.clock.now();
        let index = targets.choose(now, call.policy, tried, &mut self.rng.borrow_mut())?;
        let record = &targets.targets[index];
        let others = targets.targets.len().saturating_sub(tried.len() + 1);
        Some(ChosenTarget {
            name: record.name.clone(),
            place: record.place.clone()?,
            service_us: record.service_us(),
            others,
        })
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
            "retry_budget": *self.retry_budget.borrow(),
            "hedge_budget": *self.hedge_budget.borrow(),
            "probe_budget": *self.probe_budget.borrow(),
            "caller_connections": *self.open.borrow(),
            "guard_connections": self.pool.len(),
            "now": self.clock.now(),
        })
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

fn bearer(headers: &HeaderMap) -> Option<&[u8]> {
    let value = headers.get(http::header::AUTHORIZATION)?.as_bytes();
    value.strip_prefix(b"Bearer ")
}

fn idempotency_key(headers: &HeaderMap) -> Option<&[u8]> {
    let key = headers.get(headers::IDEMPOTENCY_KEY)?.as_bytes();
    (!key.is_empty() && key.len() <= MAX_KEY).then_some(key)
}

/// Splits `/service/rest?query` into the service and the path at the target.
fn split_path(path: &str) -> (&str, String) {
    let path = path.strip_prefix('/').unwrap_or(path);
    let end = path.find(['/', '?']).unwrap_or(path.len());
    let (service, rest) = path.split_at(end);
    let slash = if rest.starts_with('/') { "" } else { "/" };
    (service, format!("{slash}{rest}"))
}

/// Returns the time a call has, or nothing if its header can't be read.
fn deadline_of(headers: &HeaderMap, default_ms: u32) -> Option<u32> {
    let Some(value) = headers.get(headers::DEADLINE_MS) else { return Some(default_ms) };
    let asked: u32 = value.to_str().ok()?.parse().ok()?;
    Some(asked.min(MAX_DEADLINE_MS))
}

async fn read_body(body: Incoming, headers: &HeaderMap) -> Result<Bytes, Response<EntryBody>> {
    let refuse = |status, reason| {
        let mut response = reply::not_run(status, reason, 0);
        // The rest of the body stays unread: nothing may follow it.
        let close = http::HeaderValue::from_static("close");
        response.headers_mut().insert(http::header::CONNECTION, close);
        response
    };
    let length = headers.get(http::header::CONTENT_LENGTH);
    let length = length.and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    if length.is_some_and(|length| length > MAX_REQUEST_BODY) {
        return Err(refuse(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large"));
    }
    match timeout(SLOW_SENDER, Limited::new(body, MAX_REQUEST_BODY).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(refuse(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large"))
        }
        Ok(Err(_broken)) => Err(refuse(StatusCode::BAD_REQUEST, "body_broken")),
        Err(_elapsed) => Err(refuse(StatusCode::REQUEST_TIMEOUT, "body_too_slow")),
    }
}

/// Derives the claim row of a call, which no other account can name.
fn make_claim(call: &CallerCall, key: &[u8]) -> KeyClaim {
    let row =
        hash_parts(&[call.account.as_str().as_bytes(), call.service.as_str().as_bytes(), key]);
    let print = hash_parts(&[call.method.as_bytes(), call.path.as_bytes(), &call.body]);
    KeyClaim { row: format!("claim-{row}"), print, takeover: None }
}

/// Hashes parts so that no two lists of parts read alike.
fn hash_parts(parts: &[&[u8]]) -> String {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize().to_hex().to_string()
}
