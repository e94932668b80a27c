//! Load reports that a guard sends to the entries that use its target.
//!
//! A load report also travels on each answer, but an entry hears few of them and
//! a host's speed shifts within some hundred milliseconds. So an entry that
//! sent a call to a target keeps a stream open, on which the guard tells each
//! change that matters, within a budget of bytes.

use std::future::poll_fn;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use h2::server::SendResponse;
use http::Response;
use slog::info;
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::base::ids::{ServiceName, TargetName};
use crate::base::wire::{LoadReport, WatchHead};
use crate::call::entry::EntryDuty;
use crate::call::guard::GuardDuty;
use crate::call::h2io::{self, HeadReader};
use crate::decide::selection::TargetPlace;

/// Bytes of one word on its stream, with the frame around it.
pub(crate) const REPORT_BYTES: u32 = 50;

/// Bytes of words that one guard sends in a second: half of what the letter
/// allows for all of control.
pub(crate) const REPORT_BYTES_PER_S: u32 = 10_000;

/// Targets that one entry watches at most.
///
/// Entries of large fleets hear of the rest on answers.
const MAX_WATCHED: usize = 48;

/// Longest wait for the first word of a target; a guard says it at once, so
/// longer means that its host or the way there stands still.
const FIRST_REPORT: Duration = Duration::from_millis(200);

/// Change of slowness, in percent of its value, that is worth a word.
const SLOWNESS_STEP: u16 = 20;

/// Steps of occupancy that are told apart: parts of the slots in use.
const OCCUPANCY_STEPS: u16 = 4;

/// Tells whether a word says something that the one told before did not.
pub(crate) fn differs(told: &LoadReport, now: &LoadReport) -> bool {
    let gap = told.slowness.abs_diff(now.slowness);
    let slower = u32::from(gap) * 100 > u32::from(told.slowness) * u32::from(SLOWNESS_STEP);
    slower || occupancy(told) != occupancy(now) || told.slots != now.slots
}

fn occupancy(load: &LoadReport) -> u16 {
    (load.in_flight + load.queued) * OCCUPANCY_STEPS / load.slots.max(1)
}

/// Starts to watch a target, unless it or enough others are watched.
pub(crate) fn watch_target(
    duty: &Rc<EntryDuty>,
    service: &ServiceName,
    target: &TargetName,
    place: &TargetPlace,
) {
    if duty.watched.get() >= MAX_WATCHED || !duty.mark_watched(service, target, true) {
        return;
    }
    duty.watched.set(duty.watched.get() + 1);
    let duty = Rc::clone(duty);
    let (service, target, place) = (service.clone(), target.clone(), place.clone());
    spawn_local(async move {
        hear_reports(&duty, &service, &target, &place).await;
        duty.watched.set(duty.watched.get() - 1);
        duty.mark_watched(&service, &target, false);
        info!(duty.logger, "watch ended"; "target" => %target);
    });
}

/// Hears one word of a target that nothing was heard of yet; `false` if none came
/// in time.
pub(crate) async fn hear_first(
    duty: &EntryDuty,
    service: &ServiceName,
    target: &TargetName,
    place: &TargetPlace,
) -> bool {
    let head = WatchHead { service: service.clone(), target: target.clone() };
    let asked = async {
        let mut reader = duty.pool.ask(place.guard, place.incarnation, "/watch", &head).await?;
        reader.head::<LoadReport>().await.ok()
    };
    let Ok(Some(word)) = timeout(FIRST_REPORT, asked).await else { return false };
    duty.hear_load(service, target, word);
    true
}

/// Takes over a target's load reports until the stream ends.
async fn hear_reports(
    duty: &EntryDuty,
    service: &ServiceName,
    target: &TargetName,
    place: &TargetPlace,
) -> Option<()> {
    let head = WatchHead { service: service.clone(), target: target.clone() };
    let mut reader = duty.pool.ask(place.guard, place.incarnation, "/watch", &head).await?;
    loop {
        let word: LoadReport = reader.head().await.ok()?;
        duty.hear_load(service, target, word);
    }
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
        let word = duty.load(&key);
        h2io::send_all(&mut stream, h2io::frame(&word).ok()?, false).await.ok()?;
        tokio::select! {
            told = changes.changed() => told.ok()?,
            _ = poll_fn(|cx| stream.poll_reset(cx)) => return None,
        }
    }
}
