//! Load reports that a guard sends to the entries that use its targets: each significant
//! change, within one byte budget for entries of its data centre and one for the others.
//!
//! The budgets exist because load shifts faster than all entries can be notified. Reports
//! within the data centre are cheap and decide most calls; reports to other data centres
//! are paid traffic and matter only for calls that find no capacity in their own.

use std::cell::RefCell;
use std::future::poll_fn;

use bytes::Bytes;
use h2::server::SendResponse;
use http::Response;
use tokio::sync::watch;

use super::GuardDuty;
use super::local_target::LocalTarget;
use crate::base::clock::MicroTime;
use crate::base::h2io::{self, HeadReader};
use crate::base::load_report::LoadReport;
use crate::base::wire::WatchHead;
use crate::decide::report_pacer::ReportPacer;

/// Length of one report on its stream, including its frame, in bytes.
const REPORT_BYTES: u64 = 60;

/// Maximum rate of the reports that one guard sends within its data centre, in bytes per
/// second. Together with [`REMOTE_BYTES_PER_S`] it is half of the budget for all control traffic.
const LOCAL_BYTES_PER_S: u32 = 8_000;

/// Maximum rate of the reports that one guard sends to other data centres, in bytes per second.
const REMOTE_BYTES_PER_S: u32 = 2_000;

/// Maximum number of reports on one stream to an entry in another data centre. The entry opens
/// a new stream with its next call, so it stays informed while it keeps calling, and the traffic
/// doesn't grow with entries that have stopped.
const MAX_REMOTE_REPORTS: u32 = 8;

/// Change in slowness above which a report is sent, in percent of the published slowness.
const SLOWNESS_STEP: u16 = 20;

/// Number of occupancy levels from an idle target to one whose slots are all in use.
const OCCUPANCY_STEPS: u16 = 4;

/// Unit in which changes of a cold target's allowance are reported, in calls.
const COLD_ALLOWANCE_STEP: u16 = 8;

/// The entries that watch a guard either from its own data centre or from the others.
pub(crate) struct WatcherGroup {
    changes: watch::Sender<()>,
    pacer: RefCell<ReportPacer>,
}

/// All entries that watch a guard.
pub(crate) struct GuardWatchers {
    pub(crate) local: WatcherGroup,
    pub(crate) remote: WatcherGroup,
}

impl WatcherGroup {
    fn open(bytes_per_s: u32) -> Self {
        let pacer = RefCell::new(ReportPacer::open(bytes_per_s));
        Self { changes: watch::Sender::new(()), pacer }
    }

    /// Reserves the bytes for a report to the whole group; returns `false` if the budget doesn't
    /// allow one now.
    fn try_reserve(&self, now: MicroTime) -> bool {
        let bytes = self.changes.receiver_count() as u64 * REPORT_BYTES;
        self.pacer.borrow_mut().try_take(now, bytes)
    }
}

impl GuardWatchers {
    pub(crate) fn open() -> Self {
        Self {
            local: WatcherGroup::open(LOCAL_BYTES_PER_S),
            remote: WatcherGroup::open(REMOTE_BYTES_PER_S),
        }
    }
}

impl GuardDuty {
    /// Sends reports to the watchers if a target's load changed significantly, as far as the byte
    /// budgets allow.
    pub(crate) fn notify_watchers(&self, now: MicroTime) {
        let GuardWatchers { local, remote } = &self.watchers;
        self.notify_group(now, local, |target| &mut target.published_local_load);
        self.notify_group(now, remote, |target| &mut target.published_remote_load);
    }

    /// Wakes the streams of one group if a load changed; `published` returns the load that was
    /// last sent to the group.
    fn notify_group(
        &self,
        now: MicroTime,
        group: &WatcherGroup,
        published: fn(&mut LocalTarget) -> &mut LoadReport,
    ) {
        let mut targets = self.targets.borrow_mut();
        let changed = targets.values_mut().any(|target| {
            let load = target.current_report();
            is_significant_change(published(target), &load)
        });
        if !changed || !group.try_reserve(now) {
            return;
        }
        for target in targets.values_mut() {
            *published(target) = target.current_report();
        }
        group.changes.send_replace(());
    }
}

/// Returns whether a load differs enough from the published one to be worth a report.
pub(crate) fn is_significant_change(published: &LoadReport, current: &LoadReport) -> bool {
    let difference = published.slowness.abs_diff(current.slowness);
    let slowness_changed =
        u32::from(difference) * 100 > u32::from(published.slowness) * u32::from(SLOWNESS_STEP);
    let occupancy_changed =
        occupancy(published) != occupancy(current) || published.slots != current.slots;
    slowness_changed
        || occupancy_changed
        || cold_allowance_step(published) != cold_allowance_step(current)
        || has_rate_room(published) != has_rate_room(current)
        || published.statement != current.statement
}

/// Returns a cold target's allowance in units of [`COLD_ALLOWANCE_STEP`], rounded up so that no
/// allowance and a small one differ; `None` if the target isn't cold.
fn cold_allowance_step(load: &LoadReport) -> Option<u16> {
    load.cold.map(|cold| cold.available.div_ceil(COLD_ALLOWANCE_STEP))
}

/// Returns whether a target with a limited rate may start a call; `None` if there is no limit.
fn has_rate_room(load: &LoadReport) -> Option<bool> {
    load.rate.map(|rate| rate.available > 0)
}

/// Returns the occupancy level of a target; waiting calls can raise it above
/// [`OCCUPANCY_STEPS`].
fn occupancy(load: &LoadReport) -> u16 {
    (load.in_flight + load.queued) * OCCUPANCY_STEPS / load.slots.max(1)
}

/// Sends load reports of a target to an entry for as long as the entry receives them, but at
/// most [`MAX_REMOTE_REPORTS`] to an entry in another data centre.
pub(crate) async fn stream_reports(
    duty: &GuardDuty,
    mut reader: HeadReader,
    mut respond: SendResponse<Bytes>,
) -> Option<()> {
    let head: WatchHead = reader.head().await.ok()?;
    let key = (head.service, head.target);
    let mut stream = respond.send_response(Response::new(()), false).ok()?;
    let watchers = &duty.watchers;
    let (group, reports) = if head.data_centre == duty.data_centre {
        (&watchers.local, u32::MAX)
    } else {
        (&watchers.remote, MAX_REMOTE_REPORTS)
    };
    let mut changes = group.changes.subscribe();
    for remaining in (0..reports).rev() {
        let report = duty.load(&key);
        h2io::send_all(&mut stream, h2io::encode_frame(&report).ok()?, remaining == 0)
            .await
            .ok()?;
        if remaining == 0 {
            break;
        }
        tokio::select! {
            updated = changes.changed() => updated.ok()?,
            _ = poll_fn(|cx| stream.poll_reset(cx)) => return None,
        }
    }
    Some(())
}
