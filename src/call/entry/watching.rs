//! Load reports that an entry hears from the guards whose targets it uses.
//!
//! A load report also travels on each answer, but an entry hears few of them and
//! a host's speed shifts within some hundred milliseconds. So an entry that
//! sent a call to a target keeps a stream open, on which the guard tells each
//! change that matters.

use std::rc::Rc;
use std::time::Duration;

use slog::info;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::EntryDuty;
use crate::base::ids::{ServiceName, TargetName};
use crate::base::wire::{LoadReport, WatchHead};
use crate::decide::selection::TargetPlace;

/// Targets that one entry watches at most.
///
/// Entries of large fleets hear of the rest on answers.
const MAX_WATCHED: usize = 48;

/// Longest wait for the first report of a target; a guard says it at once, so
/// longer means that its host or the way there stands still.
const FIRST_REPORT: Duration = Duration::from_millis(200);

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

/// Hears one report of a target that nothing was heard of yet; `false` if none came
/// in time.
pub(crate) async fn hear_first(
    duty: &EntryDuty,
    service: &ServiceName,
    target: &TargetName,
    place: &TargetPlace,
) -> bool {
    let head = watch_head(duty, service, target);
    let asked = async {
        let mut reader = duty.pool.ask(place.guard, place.incarnation, "/watch", &head).await?;
        reader.head::<LoadReport>().await.ok()
    };
    let Ok(Some(report)) = timeout(FIRST_REPORT, asked).await else { return false };
    duty.hear_load(service, target, report);
    true
}

/// Takes over a target's load reports until the stream ends.
async fn hear_reports(
    duty: &EntryDuty,
    service: &ServiceName,
    target: &TargetName,
    place: &TargetPlace,
) -> Option<()> {
    let head = watch_head(duty, service, target);
    let mut reader = duty.pool.ask(place.guard, place.incarnation, "/watch", &head).await?;
    loop {
        let report: LoadReport = reader.head().await.ok()?;
        if place.data_centre != duty.data_centre {
            duty.metrics.cross_centre_reports.inc();
        }
        duty.hear_load(service, target, report);
    }
}

fn watch_head(duty: &EntryDuty, service: &ServiceName, target: &TargetName) -> WatchHead {
    let data_centre = duty.data_centre.clone();
    WatchHead { service: service.clone(), target: target.clone(), data_centre }
}
