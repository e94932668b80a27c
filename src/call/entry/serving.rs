//! Connections of callers, from their first byte to the head of an answer.

use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::{info, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::spawn_local;

use super::EntryDuty;
use crate::base::clock::MicroTime;
use crate::base::consts::SENDER_TIMEOUT;
use crate::base::lingering_socket::LingeringSocket;
use crate::call::entry::intake;
use crate::call::headers;
use crate::call::reply::EntryBody;

impl EntryDuty {
    pub(super) async fn accept(self: Rc<Self>, listener: TcpListener) {
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
            .serve_connection(TokioIo::new(LingeringSocket::open(socket)), serve);
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
        let Some(active) = active.as_ref() else { return SENDER_TIMEOUT };
        let limits = &active.config.limits;
        let parts = [limits.idle_timeout_ms, limits.head_timeout_ms];
        let set: u32 = parts.iter().flatten().sum();
        SENDER_TIMEOUT.max(Duration::from_millis(u64::from(set)))
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

    /// Takes no new calls and waits for the old to end.
    pub(super) async fn stop(self: Rc<Self>, done: oneshot::Sender<()>) {
        info!(self.logger, "entry stops"; "connections" => *self.open.borrow());
        self.stopping.send_replace(true);
        let mut open = self.open.subscribe();
        // Fails only when the duty itself is gone.
        drop(open.wait_for(|open| *open == 0).await);
        _ = done.send(());
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
