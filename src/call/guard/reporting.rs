//! Load reports that a guard sends to the entries that use its target: each change
//! that matters, within a budget of bytes for those near it and one for the others.
//!
//! Answers load that shifts faster than all who use a target can be told. What is told
//! in the own data centre is cheap and decides most calls; what crosses to another one
//! is paid for, and decides only where calls go that find no room near.

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
use crate::base::wire::{LoadReport, WatchHead};
use crate::decide::report_pace::ReportPace;

/// Bytes of one report on its stream, with the frame around it.
const REPORT_BYTES: u64 = 50;

/// Bytes of reports that one guard sends in a second within its data centre: with
/// [`FAR_BYTES_PER_S`] half of what all of control may send.
const NEAR_BYTES_PER_S: u32 = 8_000;

/// The same to other data centres.
const FAR_BYTES_PER_S: u32 = 2_000;

/// Reports that an entry of another data centre gets for one call: while it goes on
/// calling it is told, and what crosses does not grow with the entries that once called.
const FAR_REPORTS: u32 = 8;

/// Change of slowness, in percent of its value, that is worth a report.
const SLOWNESS_STEP: u16 = 20;

/// Steps of occupancy that are told apart: parts of the slots in use.
const OCCUPANCY_STEPS: u16 = 4;

/// Change of a cold target's room that is worth a report, in calls.
const ROOM_STEP: u16 = 8;

/// The entries of one distance that listen to a guard.
pub(crate) struct WatcherGroup {
    changes: watch::Sender<()>,
    pace: RefCell<ReportPace>,
}

/// The entries that listen to a guard, in its data centre and in others.
pub(crate) struct GuardWatchers {
    pub(crate) near: WatcherGroup,
    pub(crate) far: WatcherGroup,
}

impl WatcherGroup {
    fn open(bytes_per_s: u32) -> Self {
        let pace = RefCell::new(ReportPace::open(bytes_per_s));
        Self { changes: watch::Sender::new(()), pace }
    }

    /// Tells whether the group may be told something now; if so, it counts as told.
    fn take_turn(&self, now: MicroTime) -> bool {
        let bytes = self.changes.receiver_count() as u64 * REPORT_BYTES;
        self.pace.borrow_mut().take(now, bytes)
    }
}

impl GuardWatchers {
    pub(crate) fn open() -> Self {
        Self {
            near: WatcherGroup::open(NEAR_BYTES_PER_S),
            far: WatcherGroup::open(FAR_BYTES_PER_S),
        }
    }
}

impl GuardDuty {
    /// Wakes the streams of watchers when a load changed that much.
    pub(crate) fn tell_watchers(&self, now: MicroTime) {
        let GuardWatchers { near, far } = &self.watchers;
        self.tell_group(now, near, |target| &mut target.told_near);
        self.tell_group(now, far, |target| &mut target.told_far);
    }

    /// Wakes the watchers of one distance; `told` is what these were told last.
    fn tell_group(
        &self,
        now: MicroTime,
        group: &WatcherGroup,
        told: fn(&mut LocalTarget) -> &mut LoadReport,
    ) {
        let mut targets = self.targets.borrow_mut();
        let changed = targets.values_mut().any(|target| {
            let load = target.queue.peek();
            differs(told(target), &load)
        });
        if !changed || !group.take_turn(now) {
            return;
        }
        for target in targets.values_mut() {
            *told(target) = target.queue.peek();
        }
        group.changes.send_replace(());
    }
}

/// Tells whether a report says something that the one told before did not.
pub(crate) fn differs(told: &LoadReport, now: &LoadReport) -> bool {
    let gap = told.slowness.abs_diff(now.slowness);
    let slower = u32::from(gap) * 100 > u32::from(told.slowness) * u32::from(SLOWNESS_STEP);
    let crowded = occupancy(told) != occupancy(now) || told.slots != now.slots;
    slower || crowded || room_level(told) != room_level(now)
}

/// Returns how much room a cold target has, in steps that are worth a report: none is
/// told apart from some.
fn room_level(load: &LoadReport) -> Option<u16> {
    load.cold.map(|cold| cold.available.div_ceil(ROOM_STEP))
}

fn occupancy(load: &LoadReport) -> u16 {
    (load.in_flight + load.queued) * OCCUPANCY_STEPS / load.slots.max(1)
}

/// Tells an entry of a target's load for as long as it listens, or to one of another data
/// centre so often as it is told for one call.
pub(crate) async fn tell_reports(
    duty: &GuardDuty,
    mut reader: HeadReader,
    mut respond: SendResponse<Bytes>,
) -> Option<()> {
    let head: WatchHead = reader.head().await.ok()?;
    let key = (head.service, head.target);
    let mut stream = respond.send_response(Response::new(()), false).ok()?;
    let watchers = &duty.watchers;
    let (group, reports) = if head.data_centre == duty.data_centre {
        (&watchers.near, u32::MAX)
    } else {
        (&watchers.far, FAR_REPORTS)
    };
    let mut changes = group.changes.subscribe();
    for left in (0..reports).rev() {
        let report = duty.load(&key);
        h2io::send_all(&mut stream, h2io::encode_frame(&report).ok()?, left == 0).await.ok()?;
        if left == 0 {
            break;
        }
        tokio::select! {
            told = changes.changed() => told.ok()?,
            _ = poll_fn(|cx| stream.poll_reset(cx)) => return None,
        }
    }
    Some(())
}
