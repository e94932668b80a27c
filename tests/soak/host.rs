//! One host of a run: its daemon, its present target, and a faulty link before each
//! address that others use.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use railspan_standins::{
    DaemonEndpoints, DaemonProcess, DaemonSpec, FaultyLink, HostedTarget, LinkDirection,
    hosted_call,
};

use super::plan::LinkKind;

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The links before one host.
pub struct HostLinks {
    pub guard: FaultyLink,
    pub peer: FaultyLink,
    pub store: FaultyLink,
    pub target: FaultyLink,
}

impl HostLinks {
    pub const fn of(&self, kind: LinkKind) -> &FaultyLink {
        match kind {
            LinkKind::Guard => &self.guard,
            LinkKind::Peer => &self.peer,
            LinkKind::Store => &self.store,
            LinkKind::Target => &self.target,
        }
    }
}

/// One host with its daemon and its present target.
pub struct SoakHost {
    pub service: &'static str,
    pub place: DaemonEndpoints,
    /// Grows with each start of the daemon.
    pub life: AtomicU64,
    /// When the daemon stood still, from and to.
    pub freezes: Mutex<Vec<(Instant, Instant)>>,
    /// When its links were harmed, from and to.
    pub troubles: Mutex<Vec<(Instant, Instant)>>,
    /// When its lives began.
    pub starts: Mutex<Vec<Instant>>,
    pub daemon: Mutex<DaemonProcess>,
    pub target: Mutex<Arc<HostedTarget>>,
    pub spec: DaemonSpec,
    pub links: HostLinks,
}

impl SoakHost {
    /// Tells whether the daemon stood still at some time of a span.
    pub fn was_frozen(&self, from: Instant, to: Instant) -> bool {
        self.first_freeze(from, to).is_some()
    }

    /// Tells whether the daemon was started in a span.
    pub fn started_within(&self, from: Instant, to: Instant) -> bool {
        lock(&self.starts).iter().any(|start| *start > from && *start <= to)
    }

    /// Tells whether something happened to the daemon or its links in a span.
    pub fn was_troubled(&self, from: Instant, to: Instant) -> bool {
        let troubles = lock(&self.troubles);
        let linked = troubles.iter().any(|(start, end)| *start < to && *end > from);
        linked || self.was_frozen(from, to) || self.started_within(from, to)
    }

    /// Returns when the daemon first stood still in a span.
    pub fn first_freeze(&self, from: Instant, to: Instant) -> Option<Instant> {
        let freezes = lock(&self.freezes);
        let within = freezes.iter().filter(|(start, end)| *start < to && *end > from);
        within.map(|(start, _)| (*start).max(from)).min()
    }
}

/// Asks a daemon for something on the newest route of a service.
pub fn serves(host: &SoakHost, service: &str, version: u64) -> bool {
    let domain = format!("{service}.example");
    let headers = [("Host", &*domain), ("X-Request-Id", "recovery"), ("X-Deadline-Ms", "1000")];
    let path = format!("/v{version}/recovery");
    let answer = hosted_call(host.place.caller, "GET", &path, &headers, b"");
    answer.is_ok_and(|answer| answer.status == 200)
}

pub fn restart(host: &SoakHost, daemon: &mut DaemonProcess) {
    host.life.fetch_add(1, Ordering::Relaxed);
    lock(&host.starts).push(Instant::now());
    *daemon = DaemonProcess::spawn_at(&host.spec, &host.place).expect("daemon");
}

pub fn freeze(host: &SoakHost, lasts: Duration) {
    let life = host.life.load(Ordering::Relaxed);
    let from = Instant::now();
    if lock(&host.daemon).freeze().is_err() {
        return;
    }
    std::thread::sleep(lasts);
    let daemon = lock(&host.daemon);
    lock(&host.freezes).push((from, Instant::now()));
    if host.life.load(Ordering::Relaxed) == life {
        // It may have ended just now; then there is nothing to thaw.
        drop(daemon.thaw());
    }
}

pub fn cut(link: &FaultyLink, way: LinkDirection, lasts: Duration) {
    link.cut(way, true);
    std::thread::sleep(lasts);
    link.cut(way, false);
}
