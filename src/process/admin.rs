//! The admin duty: HTTP interface for operators and the host's own targets.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::base::digest::RequestDigest;
use crate::base::ids::{HostName, TargetName};
use crate::base::member::FleetView;
use crate::base::metrics::DaemonMetrics;
use crate::duty::connections::ConnectionRoom;
use crate::duty::events::{AdminEvent, EntryEvent, GuardEvent, PeersEvent, PlatformEvent};
use crate::duty::ring::{RingInbox, RingSender};
use crate::duty::target_report::TargetAnnouncement;
use crate::process::httpd;
use crate::rules::revision::RevisionHead;

/// Maximum wait for another duty's reply.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);

/// Senders to the other duties.
#[derive(Debug)]
pub(crate) struct AdminRings {
    pub(crate) entry: RingSender<EntryEvent>,
    pub(crate) guard: RingSender<GuardEvent>,
    pub(crate) peers: RingSender<PeersEvent>,
    pub(crate) platform: RingSender<PlatformEvent>,
}

pub(crate) struct AdminDuty {
    host: HostName,
    /// Head of the configuration revision in force.
    revision_head: RefCell<Option<RevisionHead>>,
    metrics: Arc<DaemonMetrics>,
    pub(crate) rings: AdminRings,
}

impl AdminDuty {
    /// Creates the duty, which [`Self::serve`] and [`Self::handle_events`] run.
    pub(crate) fn new(host: HostName, rings: AdminRings, metrics: Arc<DaemonMetrics>) -> Rc<Self> {
        Rc::new(Self { host, revision_head: RefCell::default(), metrics, rings })
    }

    /// Handles events from other duties until the runtime ends.
    pub(crate) async fn handle_events(self: Rc<Self>, mut inbox: RingInbox<AdminEvent>) {
        loop {
            let AdminEvent::Config(head) = inbox.next().await;
            *self.revision_head.borrow_mut() = Some(head);
        }
    }

    /// Serves requests of operators and targets until the runtime ends.
    pub(crate) async fn serve(self: Rc<Self>, listener: TcpListener, room: Rc<ConnectionRoom>) {
        httpd::serve(listener, room, move |request| {
            let duty = Rc::clone(&self);
            async move { duty.handle_request(request).await }
        })
        .await;
    }

    async fn handle_request(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/healthz") => self.health().await,
            (&Method::GET, "/metrics") => {
                Response::new(Full::new(Bytes::from(self.metrics.render())))
            }
            (&Method::GET, "/state") => httpd::json_response(StatusCode::OK, &self.state().await),
            (&Method::GET, "/status") => httpd::json_response(StatusCode::OK, &self.status().await),
            (&Method::GET, "/accounts") => self.accounts().await,
            (&Method::GET, "/members") => self.members().await,
            (&Method::POST, "/announce") => self.announce(request).await,
            (&Method::POST, "/drain") => self.drain(request).await,
            (&Method::POST, "/forgive") => self.forgive(request).await,
            (&Method::POST, "/hint") => {
                drop(self.rings.platform.push(PlatformEvent::Hint));
                httpd::json_response(StatusCode::OK, &json!({"hinted": true}))
            }
            _ => httpd::error_response(StatusCode::NOT_FOUND, "no such page"),
        }
    }

    async fn health(&self) -> Response<Full<Bytes>> {
        let entry = query_duty(&self.rings.entry, EntryEvent::Dump).await;
        let ready = entry.as_ref().is_some_and(|entry| entry["ready"] == json!(true));
        let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        httpd::json_response(status, &json!({"ready": ready}))
    }

    /// Returns the state that this daemon's decisions are based on.
    async fn state(&self) -> Value {
        let (entry, guard, peers, platform) = tokio::join!(
            query_duty(&self.rings.entry, EntryEvent::Dump),
            query_duty(&self.rings.guard, GuardEvent::Dump),
            query_duty(&self.rings.peers, PeersEvent::Dump),
            query_duty(&self.rings.platform, PlatformEvent::Dump),
        );
        json!({
            "host": self.host,
            "entry": entry,
            "guard": guard,
            "peers": peers,
            "platform": platform,
        })
    }

    async fn status(&self) -> Value {
        let (entry, statements) = tokio::join!(
            query_duty(&self.rings.entry, EntryEvent::Dump),
            query_duty(&self.rings.guard, GuardEvent::Statements),
        );
        let entry = entry.unwrap_or_default();
        json!({
            "host": self.host,
            "ready": entry["ready"],
            "in_force": entry["revision"],
            "evacuated": entry["evacuated"],
            "unconfirmed": entry["revocation"]["serves_tokens"] == json!(false),
            "blamed": entry["blamed"],
            "statements": statements.unwrap_or_default(),
            "body_memory": entry["body_memory"],
            "connection_memory": entry["connection_memory"],
            "head": *self.revision_head.borrow(),
        })
    }

    async fn members(&self) -> Response<Full<Bytes>> {
        let view: Option<FleetView> = query_duty(&self.rings.peers, PeersEvent::Members).await;
        match view {
            Some(view) => httpd::json_response(StatusCode::OK, &view),
            None => httpd::busy_response(),
        }
    }

    async fn accounts(&self) -> Response<Full<Bytes>> {
        match query_duty(&self.rings.entry, EntryEvent::Accounts).await {
            Some(page) => httpd::json_response(StatusCode::OK, &page),
            None => httpd::busy_response(),
        }
    }

    async fn announce(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let body = match httpd::read_body(request).await {
            Ok(body) => body,
            Err(response) => return response,
        };
        match serde_json::from_slice::<TargetAnnouncement>(&body) {
            Err(error) => httpd::error_response(StatusCode::BAD_REQUEST, &error.to_string()),
            Ok(announcement) if announcement.slots == 0 => {
                httpd::error_response(StatusCode::BAD_REQUEST, "slots must be at least 1")
            }
            Ok(announcement) => match self.rings.guard.push(GuardEvent::Announce(announcement)) {
                Ok(()) => httpd::json_response(StatusCode::OK, &json!({"announced": true})),
                Err(_full) => httpd::busy_response(),
            },
        }
    }

    async fn drain(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let Some(target) = query_field(&request, "target").map(TargetName::from) else {
            return httpd::error_response(
                StatusCode::BAD_REQUEST,
                "expected ?target=NAME&on=true|false",
            );
        };
        let drained = query_field(&request, "on") != Some("false");
        let reply =
            query_duty(&self.rings.guard, |reply| GuardEvent::Drain { target, drained, reply });
        match reply.await {
            Some(true) => httpd::json_response(StatusCode::OK, &json!({"drained": drained})),
            Some(false) => {
                httpd::error_response(StatusCode::NOT_FOUND, "no such target on this host")
            }
            None => httpd::busy_response(),
        }
    }

    async fn forgive(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let Some(digest) = query_field(&request, "request").and_then(RequestDigest::parse) else {
            return httpd::error_response(StatusCode::BAD_REQUEST, "expected ?request=DIGEST");
        };
        match query_duty(&self.rings.peers, |reply| PeersEvent::Forgive { digest, reply }).await {
            Some(true) => httpd::json_response(StatusCode::OK, &json!({"forgiven": digest})),
            Some(false) => {
                httpd::error_response(StatusCode::NOT_FOUND, "no such request is suspected")
            }
            None => httpd::busy_response(),
        }
    }
}

fn query_field<'a>(request: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    let query = request.uri().query().unwrap_or_default();
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

/// Sends a query to another duty; returns `None` if the duty is too busy to reply.
pub(crate) async fn query_duty<E, T>(
    ring: &RingSender<E>,
    event: impl FnOnce(oneshot::Sender<T>) -> E,
) -> Option<T> {
    let (sender, receiver) = oneshot::channel();
    ring.push(event(sender)).ok()?;
    timeout(QUERY_TIMEOUT, receiver).await.ok()?.ok()
}
