//! Metrics of what a daemon holds for calls: bodies, and answers on their way.

use prometheus::{IntCounter, IntCounterVec, IntGaugeVec, Opts, Registry};

use crate::base::metrics::register_counters;

/// Metrics of the memory for calls; each is labelled with the duty or the reason.
#[derive(Debug)]
pub(crate) struct MemoryMetrics {
    /// Memory of the bodies of calls, in bytes, by the duty that keeps them.
    pub(crate) body_bytes: IntGaugeVec,
    /// Waits of bodies for memory, by the duty that receives them.
    pub(crate) body_waits: IntCounterVec,
    /// Bodies that were given up for others that waited for memory, by duty.
    pub(crate) bodies_given_up: IntCounterVec,
    /// Answers that were not passed on as a whole, by reason.
    pub(crate) cut_answers: IntCounterVec,
    /// Open connections, by listener.
    pub(crate) open_connections: IntGaugeVec,
    /// Connections closed since others needed their share, by listener.
    pub(crate) evicted_connections: IntCounterVec,
    /// Records of calls that a guard dropped early for lack of memory.
    pub(crate) forgotten_records: IntCounter,
}

impl MemoryMetrics {
    /// Registers all metrics.
    pub(crate) fn open(registry: &Registry) -> Result<Self, prometheus::Error> {
        let counters =
            |name: &str, help: &str, label: &str| register_counters(registry, name, help, label);
        let options = Opts::new("railspan_body_bytes", "Memory of the bodies of calls");
        let body_bytes = IntGaugeVec::new(options, &["duty"])?;
        registry.register(Box::new(body_bytes.clone()))?;
        let options = Opts::new("railspan_open_connections", "Connections of a listener");
        let open_connections = IntGaugeVec::new(options, &["listener"])?;
        registry.register(Box::new(open_connections.clone()))?;
        let forgotten_records = IntCounter::new(
            "railspan_forgotten_records_total",
            "Records of calls dropped early for lack of memory",
        )?;
        registry.register(Box::new(forgotten_records.clone()))?;
        Ok(Self {
            body_bytes,
            body_waits: counters("railspan_body_waits_total", "Waits for memory", "duty")?,
            bodies_given_up: counters(
                "railspan_bodies_given_up_total",
                "Slow bodies given up for others",
                "duty",
            )?,
            cut_answers: counters(
                "railspan_cut_answers_total",
                "Answers that were not passed on as a whole",
                "reason",
            )?,
            open_connections,
            evicted_connections: counters(
                "railspan_evicted_connections_total",
                "Connections closed for others",
                "listener",
            )?,
            forgotten_records,
        })
    }
}
