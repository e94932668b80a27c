//! Requests that one holder is asked for, as a sliding count.

use std::collections::VecDeque;

use serde::Serialize;

use super::BUCKETS;
use crate::base::clock::MicroTime;

/// Time whose requests decide whether the count of a whole window is out of date.
pub(super) const DEMAND_HORIZON: MicroTime = MicroTime::from_millis(1_000);

/// Standard deviations by which the last second has to be above the window's count to raise it.
///
/// An estimate that follows a surge late costs urgent requests, while one that is a little too
/// high leaves a little less to the others.
const RISE_DEVIATIONS: f64 = 0.5;

/// Standard deviations by which the last second has to be below the window's count to lower it.
const FALL_DEVIATIONS: f64 = 1.0;

/// Requests of one priority that a holder was asked for within the last window.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub(super) struct RequestDemand {
    /// Start of each bucket and the requests in it, oldest first.
    #[serde(skip)]
    buckets: VecDeque<(MicroTime, f64)>,
    /// Sum of the requests in `buckets`.
    total: f64,
}

impl RequestDemand {
    /// Counts requests; `span` is the length of the window.
    pub(super) fn record(&mut self, now: MicroTime, span: MicroTime, requests: f64) {
        self.total += requests;
        match self.buckets.back_mut() {
            Some((start, count)) if now.since(*start).0 < span.0 / BUCKETS => *count += requests,
            _ => self.buckets.push_back((now, requests)),
        }
    }

    /// Drops the buckets that have left the window.
    pub(super) fn drop_expired(&mut self, now: MicroTime, span: MicroTime) {
        while let Some((start, count)) = self.buckets.front().copied() {
            if now.since(start) < span {
                return;
            }
            self.total = (self.total - count).max(0.0);
            self.buckets.pop_front();
        }
        self.total = 0.0;
    }

    /// Returns the expected number of requests in a window.
    ///
    /// This is the count of the last window, unless the count of the last second contradicts it
    /// by more than chance. The window is long enough for accounts with few requests, and the
    /// last second shows a change.
    pub(super) fn expected(&self, now: MicroTime, span: MicroTime) -> f64 {
        let (recent, scale) = self.recent(now, span);
        let deviation = recent.sqrt();
        let least = (recent - RISE_DEVIATIONS * deviation).max(0.0) * scale;
        // One more, so that a single request in a window is not forgotten after a second.
        let most = (recent + FALL_DEVIATIONS * deviation + 1.0) * scale;
        self.total.clamp(least, most)
    }

    /// Returns the requests of the last second, and the factor from there to a window.
    pub(super) fn recent(&self, now: MicroTime, span: MicroTime) -> (f64, f64) {
        let horizon = DEMAND_HORIZON.min(span);
        let buckets = self.buckets.iter().rev();
        let recent = buckets.take_while(|(start, _)| now.since(*start) < horizon);
        let recent = recent.map(|(_, count)| count).sum();
        (recent, span.0 as f64 / horizon.0.max(1) as f64)
    }

    /// Returns whether no request was counted within the last window.
    pub(super) fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }
}
