//! What a planned stop means for the calls at a guard.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Instant;

use super::GuardDuty;
use crate::base::clock::MicroTime;
use crate::base::consts::WORK_MARGIN;
use crate::duty::events::PlatformEvent;

impl GuardDuty {
    /// Returns the time by which a call must have started to end before a planned stop; `None`
    /// unless the daemon stops.
    pub(super) fn latest_start(&self, work_us: u32) -> Option<MicroTime> {
        let left = self.calls_end.get()?.saturating_duration_since(Instant::now());
        let work = Duration::from_micros(u64::from(work_us)).mul_f64(WORK_MARGIN);
        Some(self.clock.now() + MicroTime::from(left).since(MicroTime::from(work)))
    }

    /// Returns whether a call that starts now ends before a planned stop, as far as known.
    pub(super) fn ends_before_stop(&self, work_us: u32) -> bool {
        self.latest_start(work_us).is_none_or(|latest| latest > self.clock.now())
    }

    /// Waits until calls are refused for a planned stop.
    pub(super) async fn wait_for_stop(&self) {
        let mut stopping = self.stopping.subscribe();
        // Fails only if the duty itself has been dropped.
        drop(stopping.wait_for(|stopping| *stopping).await);
    }

    /// Refuses new calls from now on, and reports when all open streams have ended and the outcomes
    /// of their calls are written.
    pub(super) async fn stop(self: Rc<Self>, done: oneshot::Sender<()>) {
        self.stopping.send_replace(true);
        self.apply_leases();
        let mut open_streams = self.open_streams.subscribe();
        // Fails only if the duty itself has been dropped.
        drop(open_streams.wait_for(|streams| *streams == 0).await);
        // If the ring is full, `done` is dropped, which ends the stop's wait as well.
        drop(self.rings.platform.push(PlatformEvent::FinishWrites(done)));
    }
}
