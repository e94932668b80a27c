//! Streams of load reports from the guards whose targets an entry uses.
//!
//! Each answer carries a load report too, but one entry receives few answers of a target,
//! and a host's speed changes within some hundred milliseconds. So an entry that sent a
//! call to a target keeps a stream open on which the guard reports each significant change.

use std::rc::Rc;
use std::time::Duration;

use slog::info;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::EntryDuty;
use crate::base::ids::{ServiceName, TargetName};
use crate::base::load_report::LoadReport;
use crate::base::wire::WatchHead;
use crate::decide::selection::TargetLocation;

/// Maximum number of targets that one entry watches.
///
/// In large fleets, the load of the other targets is known only from answers and probes.
const MAX_WATCHED_TARGETS: usize = 48;

/// Maximum wait for the first report of a target; a guard sends it at once, so a longer
/// wait means that its host or the network path is stalled.
const FIRST_REPORT_TIMEOUT: Duration = Duration::from_millis(200);

/// Starts to watch a target, unless it is watched already or [`MAX_WATCHED_TARGETS`] targets are.
pub(crate) fn watch_target(
    duty: &Rc<EntryDuty>,
    service: &ServiceName,
    target: &TargetName,
    location: &TargetLocation,
) {
    if duty.watch_count.get() >= MAX_WATCHED_TARGETS || !duty.mark_watched(service, target, true) {
        return;
    }
    duty.watch_count.set(duty.watch_count.get() + 1);
    let duty = Rc::clone(duty);
    let (service, target, location) = (service.clone(), target.clone(), location.clone());
    spawn_local(async move {
        receive_reports(&duty, &service, &target, &location).await;
        duty.watch_count.set(duty.watch_count.get() - 1);
        duty.mark_watched(&service, &target, false);
        info!(duty.logger, "load watch ended"; "target" => %target);
    });
}

/// Requests the first load report of a target; returns whether it arrived in time.
pub(crate) async fn fetch_first_report(
    duty: &EntryDuty,
    service: &ServiceName,
    target: &TargetName,
    location: &TargetLocation,
) -> bool {
    let head = watch_head(duty, service, target);
    let response = async {
        let mut reader =
            duty.pool.request(location.guard, location.incarnation, "/watch", &head).await?;
        reader.head::<LoadReport>().await.ok()
    };
    let Ok(Some(report)) = timeout(FIRST_REPORT_TIMEOUT, response).await else { return false };
    duty.update_load(service, target, report);
    true
}

/// Records a target's load reports until the stream ends.
async fn receive_reports(
    duty: &EntryDuty,
    service: &ServiceName,
    target: &TargetName,
    location: &TargetLocation,
) -> Option<()> {
    let head = watch_head(duty, service, target);
    let mut reader =
        duty.pool.request(location.guard, location.incarnation, "/watch", &head).await?;
    loop {
        let report: LoadReport = reader.head().await.ok()?;
        if location.data_centre != duty.data_centre {
            duty.metrics.cross_centre_reports.inc();
        }
        duty.update_load(service, target, report);
    }
}

fn watch_head(duty: &EntryDuty, service: &ServiceName, target: &TargetName) -> WatchHead {
    let data_centre = duty.data_centre.clone();
    WatchHead { service: service.clone(), target: target.clone(), data_centre }
}
