//! One host of a run: its daemon, its current target, and a fault-injecting link in
//! front of each address that other processes connect to.

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

/// The links of one host.
pub struct HostLinks {
    pub guard: FaultyLink,
    pub peer: FaultyLink,
    pub store: FaultyLink,
    pub target: FaultyLink,
}

impl HostLinks {
    pub const fn by_kind(&self, kind: LinkKind) -> &FaultyLink {
        match kind {
            LinkKind::Guard => &self.guard,
            LinkKind::Peer => &self.peer,
            LinkKind::Store => &self.store,
            LinkKind::Target => &self.target,
        }
    }
}

/// One host with its daemon and its current target.
pub struct SoakHost {
    pub service: &'static str,
    pub addresses: DaemonEndpoints,
    /// Number of starts of the daemon so far.
    pub incarnation: AtomicU64,
    /// Start and end of each span in which the daemon was suspended.
    pub freezes: Mutex<Vec<(Instant, Instant)>>,
    /// Start and end of each fault of its links.
    pub link_faults: Mutex<Vec<(Instant, Instant)>>,
    /// Time of each start of the daemon.
    pub starts: Mutex<Vec<Instant>>,
    pub daemon: Mutex<DaemonProcess>,
    /// Held while its target states something in its answers.
    pub stating: Mutex<()>,
    pub target: Mutex<Arc<HostedTarget>>,
    pub spec: DaemonSpec,
    pub links: HostLinks,
}

impl SoakHost {
    /// Whether the daemon was suspended at any time between `from` and `to`.
    pub fn was_frozen(&self, from: Instant, to: Instant) -> bool {
        self.first_freeze(from, to).is_some()
    }

    /// Whether the daemon was started after `from` and not after `to`.
    pub fn started_within(&self, from: Instant, to: Instant) -> bool {
        lock(&self.starts).iter().any(|start| *start > from && *start <= to)
    }

    /// Returns the latest start of the daemon up to `at`.
    pub fn starts_before(&self, at: Instant) -> Instant {
        lock(&self.starts).iter().filter(|start| **start <= at).max().copied().unwrap_or(at)
    }

    /// Whether the daemon was started or suspended, or its links were impaired, at any time
    /// between `from` and `to`.
    pub fn was_disrupted(&self, from: Instant, to: Instant) -> bool {
        let link_faults = lock(&self.link_faults);
        let has_link_fault = link_faults.iter().any(|(start, end)| *start < to && *end > from);
        has_link_fault || self.was_frozen(from, to) || self.started_within(from, to)
    }

    /// Returns the first time between `from` and `to` at which the daemon was suspended.
    pub fn first_freeze(&self, from: Instant, to: Instant) -> Option<Instant> {
        let freezes = lock(&self.freezes);
        let within = freezes.iter().filter(|(start, end)| *start < to && *end > from);
        within.map(|(start, _)| (*start).max(from)).min()
    }
}

/// Whether a daemon serves the route of a service that the given configuration version
/// added.
pub fn serves_version(host: &SoakHost, service: &str, version: u64) -> bool {
    let domain = format!("{service}.example");
    let headers = [("Host", &*domain), ("X-Request-Id", "recovery"), ("X-Deadline-Ms", "1000")];
    let path = format!("/v{version}/recovery");
    let answer = hosted_call(host.addresses.caller, "GET", &path, &headers, b"");
    answer.is_ok_and(|answer| answer.status == 200)
}

/// Replaces the daemon process, which must have exited, by a new one.
pub fn restart(host: &SoakHost, daemon: &mut DaemonProcess) {
    host.incarnation.fetch_add(1, Ordering::Relaxed);
    lock(&host.starts).push(Instant::now());
    *daemon = DaemonProcess::spawn_at(&host.spec, &host.addresses).expect("daemon");
}

/// Suspends the daemon for a time; resumes it unless it was restarted meanwhile.
pub fn freeze(host: &SoakHost, duration: Duration) {
    let incarnation = host.incarnation.load(Ordering::Relaxed);
    let from = Instant::now();
    if lock(&host.daemon).freeze().is_err() {
        return;
    }
    std::thread::sleep(duration);
    let daemon = lock(&host.daemon);
    lock(&host.freezes).push((from, Instant::now()));
    if host.incarnation.load(Ordering::Relaxed) == incarnation {
        // The process may have exited just now; then there is nothing to resume.
        drop(daemon.thaw());
    }
}

/// Cuts a link in one direction for a time.
pub fn cut(link: &FaultyLink, direction: LinkDirection, duration: Duration) {
    link.cut(direction, true);
    std::thread::sleep(duration);
    link.cut(direction, false);
}
