//! The duty that operators and the host's own targets talk to.

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
use crate::duty::events::{AdminEvent, EntryEvent, GuardEvent, PeersEvent, PlatformEvent};
use crate::duty::ring::{RingInbox, RingSender};
use crate::duty::target_report::TargetAnnouncement;
use crate::process::httpd;
use crate::rules::revision::RevisionHead;

/// Longest wait for another duty's answer.
const DUTY_TIMEOUT: Duration = Duration::from_secs(2);

/// Rings to all other duties.
#[derive(Debug)]
pub(crate) struct AdminRings {
    pub(crate) entry: RingSender<EntryEvent>,
    pub(crate) guard: RingSender<GuardEvent>,
    pub(crate) peers: RingSender<PeersEvent>,
    pub(crate) platform: RingSender<PlatformEvent>,
}

pub(crate) struct AdminDuty {
    host: HostName,
    head: RefCell<Option<RevisionHead>>,
    metrics: Arc<DaemonMetrics>,
    pub(crate) rings: AdminRings,
}

impl AdminDuty {
    /// Makes the duty; [`serve`] runs it.
    pub(crate) fn new(host: HostName, rings: AdminRings, metrics: Arc<DaemonMetrics>) -> Rc<Self> {
        Rc::new(Self { host, head: RefCell::default(), metrics, rings })
    }

    /// Takes what other duties tell.
    pub(crate) async fn hear(self: Rc<Self>, mut inbox: RingInbox<AdminEvent>) {
        loop {
            let AdminEvent::Config(head) = inbox.next().await;
            *self.head.borrow_mut() = Some(head);
        }
    }

    /// Serves operators and targets until the runtime ends.
    pub(crate) async fn serve(self: Rc<Self>, listener: TcpListener) {
        httpd::serve(listener, move |request| {
            let duty = Rc::clone(&self);
            async move { duty.answer(request).await }
        })
        .await;
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/healthz") => self.health().await,
            (&Method::GET, "/metrics") => {
                Response::new(Full::new(Bytes::from(self.metrics.render())))
            }
            (&Method::GET, "/state") => httpd::to_json(StatusCode::OK, &self.state().await),
            (&Method::GET, "/status") => httpd::to_json(StatusCode::OK, &self.status().await),
            (&Method::GET, "/members") => self.members().await,
            (&Method::POST, "/announce") => self.announce(request).await,
            (&Method::POST, "/drain") => self.drain(request).await,
            (&Method::POST, "/forgive") => self.forgive(request).await,
            (&Method::POST, "/hint") => {
                drop(self.rings.platform.push(PlatformEvent::Hint));
                httpd::to_json(StatusCode::OK, &json!({"hinted": true}))
            }
            _ => httpd::fault(StatusCode::NOT_FOUND, "no such page"),
        }
    }

    async fn health(&self) -> Response<Full<Bytes>> {
        let entry = ask(&self.rings.entry, EntryEvent::Dump).await;
        let ready = entry.as_ref().is_some_and(|entry| entry["ready"] == json!(true));
        let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        httpd::to_json(status, &json!({"ready": ready}))
    }

    /// Returns the inputs of every decision this daemon makes.
    async fn state(&self) -> Value {
        let (entry, guard, peers, platform) = tokio::join!(
            ask(&self.rings.entry, EntryEvent::Dump),
            ask(&self.rings.guard, GuardEvent::Dump),
            ask(&self.rings.peers, PeersEvent::Dump),
            ask(&self.rings.platform, PlatformEvent::Dump),
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
        let entry = ask(&self.rings.entry, EntryEvent::Dump).await.unwrap_or_default();
        json!({
            "host": self.host,
            "ready": entry["ready"],
            "in_force": entry["revision"],
            "evacuated": entry["evacuated"],
            "blamed": entry["blamed"],
            "head": *self.head.borrow(),
        })
    }

    async fn members(&self) -> Response<Full<Bytes>> {
        let view: Option<FleetView> = ask(&self.rings.peers, PeersEvent::Members).await;
        match view {
            Some(view) => httpd::to_json(StatusCode::OK, &view),
            None => httpd::busy(),
        }
    }

    async fn announce(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let body = match httpd::read(request).await {
            Ok(body) => body,
            Err(response) => return response,
        };
        match serde_json::from_slice::<TargetAnnouncement>(&body) {
            Err(error) => httpd::fault(StatusCode::BAD_REQUEST, &error.to_string()),
            Ok(announcement) if announcement.slots == 0 => {
                httpd::fault(StatusCode::BAD_REQUEST, "slots must be at least 1")
            }
            Ok(announcement) => match self.rings.guard.push(GuardEvent::Announce(announcement)) {
                Ok(()) => httpd::to_json(StatusCode::OK, &json!({"announced": true})),
                Err(_full) => httpd::busy(),
            },
        }
    }

    async fn drain(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let Some(target) = query_field(&request, "target").map(TargetName::from) else {
            return httpd::fault(StatusCode::BAD_REQUEST, "expected ?target=NAME&on=true|false");
        };
        let drained = query_field(&request, "on") != Some("false");
        let asked = ask(&self.rings.guard, |reply| GuardEvent::Drain { target, drained, reply });
        match asked.await {
            Some(true) => httpd::to_json(StatusCode::OK, &json!({"drained": drained})),
            Some(false) => httpd::fault(StatusCode::NOT_FOUND, "no such target on this host"),
            None => httpd::busy(),
        }
    }

    async fn forgive(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let Some(digest) = query_field(&request, "request").and_then(RequestDigest::parse) else {
            return httpd::fault(StatusCode::BAD_REQUEST, "expected ?request=DIGEST");
        };
        match ask(&self.rings.peers, |reply| PeersEvent::Forgive { digest, reply }).await {
            Some(true) => httpd::to_json(StatusCode::OK, &json!({"forgiven": digest})),
            Some(false) => httpd::fault(StatusCode::NOT_FOUND, "no such request is suspected"),
            None => httpd::busy(),
        }
    }
}

fn query_field<'a>(request: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    let query = request.uri().query().unwrap_or_default();
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

/// Asks another duty; nothing if it is too busy to answer.
pub(crate) async fn ask<E, T>(
    ring: &RingSender<E>,
    event: impl FnOnce(oneshot::Sender<T>) -> E,
) -> Option<T> {
    let (reply, answer) = oneshot::channel();
    ring.push(event(reply)).ok()?;
    timeout(DUTY_TIMEOUT, answer).await.ok()?.ok()
}
