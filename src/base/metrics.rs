//! Counters of one daemon, shared by its threads.

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// Bounds of the latency histogram, in seconds.
const LATENCY_BOUNDS: &[f64] =
    &[0.000_5, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0];

/// Every counter of a daemon.
#[derive(Debug)]
pub(crate) struct DaemonMetrics {
    registry: Registry,
    /// Calls of callers, by outcome.
    pub(crate) calls: IntCounterVec,
    /// Time to the head of an answer, in seconds.
    pub(crate) latency: Histogram,
    /// Attempts after the first, by cause.
    pub(crate) retries: IntCounterVec,
    /// Refusals by this guard, by reason.
    pub(crate) refusals: IntCounterVec,
    /// Calls this guard dispatched.
    pub(crate) dispatched: IntCounter,
    /// Measuring messages sent.
    pub(crate) probe_messages: IntCounter,
    /// Measuring bytes sent.
    pub(crate) probe_bytes: IntCounter,
    /// Gossip datagrams sent.
    pub(crate) gossip_messages: IntCounter,
    /// Gossip bytes sent.
    pub(crate) gossip_bytes: IntCounter,
    /// Bytes to and from other data centres, by cause; each counted on one side.
    pub(crate) cross_centre_bytes: IntCounterVec,
    /// Load reports that came from other data centres unasked.
    pub(crate) cross_centre_reports: IntCounter,
    /// Bytes handed out in full exchanges.
    pub(crate) exchanged_records: IntCounter,
    /// Calls to the platform, by kind and end.
    pub(crate) platform_calls: IntCounterVec,
    /// Claims written, and the transactions that carried them.
    pub(crate) claims: IntCounterVec,
    /// Questions for a target's health.
    pub(crate) health_requests: IntCounter,
    /// Targets that ended without a word while calls ran there.
    pub(crate) target_crashes: IntCounter,
    /// Calls turned away since their request ends targets.
    pub(crate) blamed_calls: IntCounter,
    /// Requests that reach no target now.
    pub(crate) blamed_requests: IntGauge,
    /// Log lines dropped because nobody took them in time.
    pub(crate) log_dropped: IntCounter,
    /// Messages shed because a ring was full, by duty.
    pub(crate) ring_drops: IntCounterVec,
}

impl DaemonMetrics {
    /// Registers all counters.
    pub(crate) fn open() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let counter = |name: &str, help: &str| -> Result<IntCounter, prometheus::Error> {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok(counter)
        };
        let family = |name: &str, help: &str, label: &str| {
            let family = IntCounterVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(family.clone()))?;
            Ok::<_, prometheus::Error>(family)
        };
        let options = HistogramOpts::new("railspan_call_seconds", "Time to the head of an answer");
        let latency = Histogram::with_opts(options.buckets(LATENCY_BOUNDS.to_vec()))?;
        registry.register(Box::new(latency.clone()))?;
        let blamed_requests =
            IntGauge::new("railspan_blamed_requests", "Requests that reach no target")?;
        registry.register(Box::new(blamed_requests.clone()))?;
        Ok(Self {
            calls: family("railspan_calls_total", "Calls of callers", "outcome")?,
            latency,
            retries: family("railspan_retries_total", "Attempts after the first", "cause")?,
            refusals: family("railspan_refusals_total", "Refusals by this guard", "reason")?,
            dispatched: counter("railspan_dispatched_total", "Calls dispatched to targets")?,
            probe_messages: counter("railspan_probe_messages_total", "Measuring messages")?,
            probe_bytes: counter("railspan_probe_bytes_total", "Measuring bytes")?,
            gossip_messages: counter("railspan_gossip_messages_total", "Gossip datagrams sent")?,
            gossip_bytes: counter("railspan_gossip_bytes_total", "Gossip bytes sent")?,
            cross_centre_bytes: family(
                "railspan_crossing_bytes_total",
                "Bytes between data centres",
                "cause",
            )?,
            cross_centre_reports: counter(
                "railspan_far_reports_total",
                "Reports of other data centres",
            )?,
            exchanged_records: counter("railspan_sync_records_total", "Records handed out whole")?,
            platform_calls: family("railspan_platform_total", "Calls to the platform", "end")?,
            claims: family("railspan_claims_total", "Claims and their transactions", "kind")?,
            health_requests: counter("railspan_health_asks_total", "Questions for health")?,
            target_crashes: counter(
                "railspan_target_crashes_total",
                "Targets that ended under calls",
            )?,
            blamed_calls: counter(
                "railspan_held_back_total",
                "Calls of requests that end targets",
            )?,
            blamed_requests,
            log_dropped: counter("railspan_log_dropped_total", "Log lines dropped")?,
            ring_drops: family("railspan_ring_shed_total", "Messages a full ring shed", "duty")?,
            registry,
        })
    }

    /// Writes all counters in the text format.
    pub(crate) fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Writing to memory can fail only on a malformed family.
        if TextEncoder::new().encode(&self.registry.gather(), &mut text).is_err() {
            text.clear();
        }
        text
    }
}
