//! Metrics of one daemon, shared by its duties.

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

use crate::base::memory_metrics::MemoryMetrics;

/// Bucket bounds of the latency histogram, in seconds.
const LATENCY_BOUNDS: &[f64] =
    &[0.000_5, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0];

/// All metrics of a daemon.
#[derive(Debug)]
pub(crate) struct DaemonMetrics {
    registry: Registry,
    /// Calls received from callers, by outcome.
    pub(crate) calls: IntCounterVec,
    /// Time from a call's arrival to the head of its answer, in seconds.
    pub(crate) latency: Histogram,
    /// Attempts after the first of a call, by cause.
    pub(crate) retries: IntCounterVec,
    /// Calls refused by this guard, by reason.
    pub(crate) refusals: IntCounterVec,
    /// Calls at this guard whose body was announced, by whether it was requested.
    pub(crate) announced_bodies: IntCounterVec,
    /// What is held for calls.
    pub(crate) memory: MemoryMetrics,
    /// Requests of accounts refused by this entry for their quota, by reason.
    pub(crate) quota_refusals: IntCounterVec,
    /// Granted requests that this entry returned to the holders of quotas.
    pub(crate) quota_returns: IntCounter,
    /// Calls that this guard dispatched to its target.
    pub(crate) dispatched: IntCounter,
    /// Load probes sent.
    pub(crate) probe_messages: IntCounter,
    /// Bytes of load probes sent.
    pub(crate) probe_bytes: IntCounter,
    /// Gossip datagrams sent.
    pub(crate) gossip_messages: IntCounter,
    /// Gossip bytes sent.
    pub(crate) gossip_bytes: IntCounter,
    /// Bytes exchanged with other data centres, by cause; each byte is counted at one end
    /// only.
    pub(crate) cross_centre_bytes: IntCounterVec,
    /// Load reports pushed by guards in other data centres.
    pub(crate) cross_centre_reports: IntCounter,
    /// Member records sent in full exchanges.
    pub(crate) exchanged_records: IntCounter,
    /// Requests to the platform's store, by operation and result.
    pub(crate) platform_calls: IntCounterVec,
    /// Claim writes, and the transactions that carried them, by kind.
    pub(crate) claims: IntCounterVec,
    /// Health checks sent to targets.
    pub(crate) health_requests: IntCounter,
    /// What targets of this host sent that is no answer, by reason.
    pub(crate) invalid_answers: IntCounterVec,
    /// Statements of targets that could not be read.
    pub(crate) invalid_statements: IntCounter,
    /// Targets of this host that state the rate of calls they take.
    pub(crate) limited_targets: IntGauge,
    /// Slots that targets of this host reserve for nested calls.
    pub(crate) reserved_slots: IntGauge,
    /// Crashes of targets: unannounced ends while calls ran.
    pub(crate) target_crashes: IntCounter,
    /// Calls rejected by this entry because their request is blamed for crashing targets.
    pub(crate) blamed_calls: IntCounter,
    /// Blamed requests, which are currently not sent to any target.
    pub(crate) blamed_requests: IntGauge,
    /// Calls refused because calls that their run makes could not be served.
    pub(crate) downstream_refusals: IntCounter,
    /// Requests refused because revocations of tokens were not confirmed lately.
    pub(crate) unconfirmed_refusals: IntCounter,
    /// Age of the newest confirmation, in milliseconds; zero if revocations have no bound.
    pub(crate) confirmation_age: IntGauge,
    /// Log lines dropped because the log was not read fast enough.
    pub(crate) log_dropped: IntCounter,
    /// Messages dropped because the ring buffer of a duty was full, by duty.
    pub(crate) ring_drops: IntCounterVec,
}

/// Registers counters that differ by the value of a label.
pub(super) fn register_counters(
    registry: &Registry,
    name: &str,
    help: &str,
    label: &str,
) -> Result<IntCounterVec, prometheus::Error> {
    let family = IntCounterVec::new(Opts::new(name, help), &[label])?;
    registry.register(Box::new(family.clone()))?;
    Ok(family)
}

impl DaemonMetrics {
    /// Registers all metrics.
    pub(crate) fn open() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let counter = |name: &str, help: &str| -> Result<IntCounter, prometheus::Error> {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok(counter)
        };
        let family =
            |name: &str, help: &str, label: &str| register_counters(&registry, name, help, label);
        let options = HistogramOpts::new("railspan_call_seconds", "Time to the head of an answer");
        let latency = Histogram::with_opts(options.buckets(LATENCY_BOUNDS.to_vec()))?;
        registry.register(Box::new(latency.clone()))?;
        let gauge = |name: &str, help: &str| -> Result<IntGauge, prometheus::Error> {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        Ok(Self {
            memory: MemoryMetrics::open(&registry)?,
            calls: family("railspan_calls_total", "Calls of callers", "outcome")?,
            latency,
            retries: family("railspan_retries_total", "Attempts after the first", "cause")?,
            refusals: family("railspan_refusals_total", "Refusals by this guard", "reason")?,
            announced_bodies: family(
                "railspan_announced_bodies_total",
                "Bodies announced to this guard",
                "reply",
            )?,
            quota_refusals: family(
                "railspan_quota_refusals_total",
                "Requests refused for a quota",
                "reason",
            )?,
            quota_returns: counter("railspan_quota_returned_total", "Granted requests returned")?,
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
            invalid_answers: family(
                "railspan_invalid_answers_total",
                "Invalid answers of targets",
                "reason",
            )?,
            invalid_statements: counter(
                "railspan_invalid_statements_total",
                "Statements of targets that could not be read",
            )?,
            limited_targets: gauge(
                "railspan_rate_limited_targets",
                "Targets that state a rate of calls",
            )?,
            reserved_slots: gauge("railspan_reserved_slots", "Slots reserved for nested calls")?,
            target_crashes: counter(
                "railspan_target_crashes_total",
                "Targets that ended under calls",
            )?,
            blamed_calls: counter(
                "railspan_held_back_total",
                "Calls of requests that end targets",
            )?,
            blamed_requests: gauge("railspan_blamed_requests", "Requests that reach no target")?,
            downstream_refusals: counter(
                "railspan_downstream_refusals_total",
                "Calls whose own calls could not be served",
            )?,
            unconfirmed_refusals: counter(
                "railspan_unconfirmed_refusals_total",
                "Requests with a token refused without a confirmation",
            )?,
            confirmation_age: gauge(
                "railspan_confirmation_age_ms",
                "Age of the confirmation that no token was revoked",
            )?,
            log_dropped: counter("railspan_log_dropped_total", "Log lines dropped")?,
            ring_drops: family("railspan_ring_shed_total", "Messages a full ring shed", "duty")?,
            registry,
        })
    }

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Writing to memory fails only on a malformed metric family.
        if TextEncoder::new().encode(&self.registry.gather(), &mut text).is_err() {
            text.clear();
        }
        text
    }
}
