//! Load reports that a guard sends to the entries that use its target: each change
//! that matters, within a budget of bytes.

use std::future::poll_fn;

use bytes::Bytes;
use h2::server::SendResponse;
use http::Response;

use super::GuardDuty;
use crate::base::h2io::{self, HeadReader};
use crate::base::wire::{LoadReport, WatchHead};

/// Bytes of one report on its stream, with the frame around it.
pub(crate) const REPORT_BYTES: u32 = 50;

/// Bytes of reports that one guard sends in a second: half of what the letter
/// allows for all of control.
pub(crate) const REPORT_BYTES_PER_S: u32 = 10_000;

/// Change of slowness, in percent of its value, that is worth a report.
const SLOWNESS_STEP: u16 = 20;

/// Steps of occupancy that are told apart: parts of the slots in use.
const OCCUPANCY_STEPS: u16 = 4;

/// Change of a cold target's room that is worth a report, in calls.
const ROOM_STEP: u16 = 8;

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
    load.cold.map(|cold| cold.now.div_ceil(ROOM_STEP))
}

fn occupancy(load: &LoadReport) -> u16 {
    (load.in_flight + load.queued) * OCCUPANCY_STEPS / load.slots.max(1)
}

/// Tells an entry of a target's load for as long as it listens.
pub(crate) async fn tell_reports(
    duty: &GuardDuty,
    mut reader: HeadReader,
    mut respond: SendResponse<Bytes>,
) -> Option<()> {
    let head: WatchHead = reader.head().await.ok()?;
    let key = (head.service, head.target);
    let mut stream = respond.send_response(Response::new(()), false).ok()?;
    let mut changes = duty.load_changes.subscribe();
    loop {
        let report = duty.load(&key);
        h2io::send_all(&mut stream, h2io::frame(&report).ok()?, false).await.ok()?;
        tokio::select! {
            told = changes.changed() => told.ok()?,
            _ = poll_fn(|cx| stream.poll_reset(cx)) => return None,
        }
    }
}
