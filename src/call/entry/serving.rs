//! Serving of HTTP connections from callers.

use std::cell::{Cell, OnceCell};
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http::header::{HeaderValue, RETRY_AFTER};
use http::{Request, Response, StatusCode};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1::{self, Parts};
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::{Logger, info, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

use super::{EntryDuty, stopping};
use crate::base::clock::MicroTime;
use crate::base::connection_plan::{ConnectionCost, ConnectionPlan, ListenerKind};
use crate::base::consts::SENDER_TIMEOUT;
use crate::base::metrics::DaemonMetrics;
use crate::call::entry::accounts::RankedAccount;
use crate::call::entry::intake;
use crate::call::guard_body::UnreadLimit;
use crate::call::head_room;
use crate::call::headers;
use crate::call::responses::{self, ResponseBody};
use crate::duty::connections::{ConnectionPermit, ConnectionRoom, LingeringSocket, TrackedBody};

/// Maximum size of a head whatever the configuration allows, in bytes: it fits into a message
/// between daemons, and its fields into what the HTTP library can hold.
const MAX_HEAD_LIMIT: usize = 62 << 10;

/// Minimum size of a header field on the wire, in bytes.
const MIN_FIELD_BYTES: usize = 4;

/// Retry delay for a request for whose head there is no memory, in milliseconds.
const NO_HEAD_ROOM_RETRY_MS: u32 = 500;

/// What a connection buffers in each direction beyond the longest head, in bytes: the end of the
/// head before it, or the start of a body.
const BUFFER_MARGIN: usize = 1 << 10;

/// Minimum limit on what a connection buffers, which the HTTP library requires, in bytes.
const MIN_BUFFER_LIMIT: usize = 8 << 10;

/// Length of a body from which on the connection gets a larger receive buffer, in bytes.
const LONG_BODY_BYTES: u64 = 16 << 10;

/// Creates the room for the connections of callers.
pub(super) fn open_room(
    plan: ConnectionPlan,
    metrics: &DaemonMetrics,
    logger: &Logger,
) -> Rc<ConnectionRoom> {
    let cost = ConnectionCost::of_buffers(MAX_HEAD_LIMIT + BUFFER_MARGIN);
    ConnectionRoom::open(ListenerKind::Callers, plan, cost, metrics, logger)
}

/// Why a connection is no longer served as it was.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionEnd {
    Closed,
    Stopping,
    /// A head has more fields than the HTTP library reads by default. To read more costs memory and
    /// time for each head, so only connections that send them do.
    ManyFields,
}

impl EntryDuty {
    pub(super) async fn accept(self: Rc<Self>, listener: TcpListener) {
        let mut stopping = self.stopping.subscribe();
        loop {
            tokio::select! {
                (socket, permit) = self.connection_room.accept(&listener, || self.connection_cost()) => {
                    spawn_local(Rc::clone(&self).serve_connection(socket, permit));
                }
                // Closing the listener makes new callers connect to another daemon.
                _ = stopping.wait_for(|stopping| *stopping) => return,
            }
        }
    }

    async fn serve_connection(self: Rc<Self>, socket: TcpStream, permit: Rc<ConnectionPermit>) {
        drop(socket.set_nodelay(true));
        self.caller_connections.send_modify(|count| *count += 1);
        let duty = Rc::clone(&self);
        let unread = Rc::new(UnreadLimit::default());
        let write_end = unread.write_end(&self.answer_room);
        let socket = LingeringSocket::open(socket, Rc::clone(&permit), write_end);
        let socket = socket.hold_back_many_fields();
        let connection_permit = Rc::clone(&permit);
        let serve = service_fn(move |request: Request<Incoming>| {
            let (duty, unread) = (Rc::clone(&duty), Rc::clone(&unread));
            let permit = Rc::clone(&connection_permit);
            let (was_sent_ahead, has_body) = (permit.note_head(), !request.body().is_end_stream());
            async move {
                permit.begin_request(has_body, was_sent_ahead).await;
                unread.reset();
                let mut response = duty.serve(request, &permit).await;
                if let ResponseBody::Streamed(body) = response.body_mut() {
                    body.limit_unread(&unread);
                }
                Ok::<_, Infallible>(response.map(|body| TrackedBody::open(body, permit)))
            }
        });
        let mut connection = self.http_builder().serve_connection(TokioIo::new(socket), serve);
        let mut stopping = self.stopping.subscribe();
        let end = loop {
            let end = tokio::select! {
                // An error on the connection concerns only its caller.
                _ = &mut connection => ConnectionEnd::Closed,
                _ = stopping.wait_for(|stopping| *stopping) => ConnectionEnd::Stopping,
                () = permit.wait_evicted() => ConnectionEnd::Closed,
                () = permit.wait_many_fields() => ConnectionEnd::ManyFields,
            };
            if end != ConnectionEnd::ManyFields {
                break end;
            }
            let Parts { io, read_buf, service, .. } = connection.into_parts();
            let socket = io.into_inner().resume(&read_buf);
            let mut builder = self.http_builder();
            builder.max_headers(self.max_fields());
            connection = builder.serve_connection(TokioIo::new(socket), service);
        };
        if end == ConnectionEnd::Stopping {
            Pin::new(&mut connection).graceful_shutdown();
            tokio::select! {
                _ = connection => {}
                () = permit.wait_evicted() => {}
            }
        }
        self.caller_connections.send_modify(|count| *count -= 1);
    }

    fn http_builder(&self) -> http1::Builder {
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(self.head_timeout())
            .max_buf_size(self.buffer_limit());
        builder
    }

    /// Returns how long a connection may stay open without a complete request head: the idle
    /// time between two requests and the time to send a head, at least [`SENDER_TIMEOUT`].
    fn head_timeout(&self) -> Duration {
        let active = self.active.borrow();
        let Some(active) = active.as_ref() else { return SENDER_TIMEOUT };
        let limits = &active.config.limits;
        let timeouts = [limits.idle_timeout_ms, limits.head_timeout_ms];
        let total_ms: u32 = timeouts.iter().flatten().sum();
        SENDER_TIMEOUT.max(Duration::from_millis(u64::from(total_ms)))
    }

    /// Returns how much of a request and of an answer a connection buffers, in bytes; a head must
    /// fit.
    fn buffer_limit(&self) -> usize {
        let active = self.active.borrow();
        let head_bytes = active.as_ref().and_then(|active| active.config.limits.head_bytes);
        let head_limit = head_bytes.map_or(MAX_HEAD_LIMIT, |bytes| bytes as usize);
        (head_limit.min(MAX_HEAD_LIMIT) + BUFFER_MARGIN).max(MIN_BUFFER_LIMIT)
    }

    /// Returns the maximum number of header fields: as many as fit into a head.
    fn max_fields(&self) -> usize {
        self.buffer_limit() / MIN_FIELD_BYTES
    }

    fn connection_cost(&self) -> ConnectionCost {
        ConnectionCost::of_buffers(self.buffer_limit())
    }

    async fn serve(
        self: Rc<Self>,
        request: Request<Incoming>,
        connection: &ConnectionPermit,
    ) -> Response<ResponseBody> {
        let arrived_at = self.clock.now();
        let request_id =
            self.header_names.request_id.and_then(|name| headers::get_str(request.headers(), name));
        let request_id: Arc<str> = Arc::from(request_id.unwrap_or_default());
        let in_progress = CallInProgress {
            duty: &self,
            request_id: &request_id,
            arrived_at,
            account: OnceCell::new(),
            answered: Cell::new(false),
        };
        if request.body().size_hint().exact().is_none_or(|length| length > LONG_BODY_BYTES) {
            connection.expect_long_body();
        }
        let head_cost = head_room::request_cost(&request);
        let head_memory = self.head_room.take(head_cost);
        let receive = async {
            if head_memory.is_none() {
                info!(self.logger, "head not held"; "id" => &*request_id, "cost" => head_cost,
                    "memory" => ?self.head_room.memory_use());
                return Err(refuse_head());
            }
            intake::receive(&self, request, &request_id, &in_progress.account).await
        };
        let received = tokio::select! {
            biased;
            received = receive => received,
            // Nothing of the request was passed on yet.
            () = self.wait_for_calls_end() => Err(stopping::refuse_incomplete()),
        };
        connection.note_received();
        let mut response = match received {
            Ok(call) => {
                let nested = self.watch_nested_end(&call);
                let grant = call.grant.clone();
                let response = tokio::select! {
                    biased;
                    response = self.route(call) => response,
                    () = self.wait_for_calls_end() => responses::unknown("stopping", None),
                };
                if let Some(nested) = nested {
                    nested.finish(response.status());
                }
                if let Some(grant) = grant {
                    self.return_if_not_run(&grant, &response);
                }
                response
            }
            Err(response) => response,
        };
        let outcome = response.headers().get(headers::OUTCOME);
        let outcome = outcome.and_then(|value| value.to_str().ok()).unwrap_or("none");
        self.metrics.calls.with_label_values(&[outcome]).inc();
        let took = self.clock.now().since(arrived_at);
        self.metrics.latency.observe(took.duration().as_secs_f64());
        in_progress.answered.set(true);
        if let Some(account) = in_progress.account.get() {
            self.count_request(account, Some(&response));
        }
        self.log_response(&request_id, &response, took);
        self.finish_head(&mut response);
        response
    }

    fn log_response(&self, request_id: &str, response: &Response<ResponseBody>, took: MicroTime) {
        let text = |name| headers::get_str(response.headers(), name).unwrap_or_default();
        let (outcome, reason) = (text(headers::OUTCOME), text(headers::REASON));
        let status = response.status().as_u16();
        if reason.is_empty() {
            info!(self.logger, "answered"; "id" => request_id, "status" => status,
                "took_us" => took.0,
                "target" => text(headers::TARGET));
        } else {
            let revision = self.active.borrow().as_ref().map(|active| active.head.revision);
            warn!(self.logger, "call failed"; "id" => request_id, "status" => status,
                "took_us" => took.0,
                "outcome" => outcome, "reason" => reason,
                "retry_after_ms" => text(headers::RETRY_AFTER_MS),
                "revision" => revision, self.confirmation.age());
        }
    }

    /// Adapts the head of a response to what callers in this deployment expect.
    fn finish_head(&self, response: &mut Response<ResponseBody>) {
        let headers = response.headers_mut();
        let retry_ms = headers::get_str(headers, headers::RETRY_AFTER_MS);
        if let Some(ms) = retry_ms.and_then(|ms| ms.parse::<u32>().ok()) {
            headers.insert(RETRY_AFTER, self.retry_after(ms));
        }
        if !self.header_names.railspan_headers {
            for name in headers::RAILSPAN_RESPONSE_HEADERS {
                headers.remove(*name);
            }
        }
        if self.is_withdrawn() {
            responses::set_connection_close(response);
        }
    }

    /// Returns the value of `Retry-After` in seconds: with fractions if callers accept them,
    /// otherwise rounded up and at least 1.
    fn retry_after(&self, ms: u32) -> HeaderValue {
        let whole_seconds = HeaderValue::from(ms.div_ceil(1_000).max(1));
        if !self.header_names.fractional_retry_after {
            return whole_seconds;
        }
        let seconds = format!("{:.3}", f64::from(ms) / 1_000.0);
        HeaderValue::from_str(&seconds).unwrap_or(whole_seconds)
    }
}

/// Creates the response to a request for whose head there is no memory.
fn refuse_head() -> Response<ResponseBody> {
    responses::not_run(StatusCode::SERVICE_UNAVAILABLE, "no_memory", NO_HEAD_ROOM_RETRY_MS)
}

/// A call that is being served; if this is dropped before the call is answered, its caller
/// has disconnected.
struct CallInProgress<'a> {
    duty: &'a EntryDuty,
    request_id: &'a str,
    arrived_at: MicroTime,
    /// Account of the request, once it is known.
    account: OnceCell<RankedAccount>,
    answered: Cell<bool>,
}

impl Drop for CallInProgress<'_> {
    fn drop(&mut self) {
        if !self.answered.get() {
            let elapsed = self.duty.clock.now().since(self.arrived_at);
            info!(self.duty.logger, "caller disconnected"; "id" => self.request_id,
                "after_us" => elapsed.0);
            if let Some(account) = self.account.get() {
                self.duty.count_request(account, None);
            }
        }
    }
}
