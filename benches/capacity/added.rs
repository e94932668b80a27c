//! Latency that the two hops through railspan add to a call, compared with a direct call
//! to the target.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use railspan_standins::{CallRequest, CallerClient, TargetStandin, Verdict};

use super::fleet::BenchFleet;
use super::usage;

/// Largest number of calls of one measurement.
const CALLS: u32 = 20_000;

/// Rates that are measured, in calls per second through one entry; the users' mean is
/// 336.
const RATES: &[u32] = &[100, 336, 1_000, 2_000];

pub fn measure() {
    println!(
        "rate/s  direct p50/p99_ms  through p50/p99_ms  added p50/p99_ms  cpu_us/call(entry+guards)"
    );
    let fleet = BenchFleet::spawn(5, 4, "grillas", 0);
    for &rate in RATES {
        let direct = measure_latencies(&fleet, rate, false);
        let cpu_before = total_cpu_s(&fleet);
        let through = measure_latencies(&fleet, rate, true);
        let cpu_us = (total_cpu_s(&fleet) - cpu_before) * 1e6 / f64::from(CALLS.min(rate * 20));
        let ms = |histogram: &Histogram<u64>, quantile| {
            histogram.value_at_quantile(quantile) as f64 / 1_000.0
        };
        println!(
            "{rate:>6} {:>9.3}/{:<8.3} {:>9.3}/{:<8.3} {:>8.3}/{:<8.3} {cpu_us:>8.0}",
            ms(&direct, 0.5),
            ms(&direct, 0.99),
            ms(&through, 0.5),
            ms(&through, 0.99),
            ms(&through, 0.5) - ms(&direct, 0.5),
            ms(&through, 0.99) - ms(&direct, 0.99),
        );
    }
}

fn total_cpu_s(fleet: &BenchFleet) -> f64 {
    fleet.daemons.iter().map(|daemon| usage::read(daemon.id()).cpu_s).sum()
}

/// Makes calls at a fixed rate for at most 20 seconds; returns the latencies in
/// microseconds.
///
/// Direct calls go to each target in turn. With `through`, calls go to the entry of the
/// fifth daemon, which has no target on its own host.
fn measure_latencies(fleet: &BenchFleet, rate: u32, through: bool) -> Histogram<u64> {
    let client = CallerClient::open();
    let entry = fleet.daemons[4].endpoints().caller;
    let targets: Arc<[SocketAddr]> = fleet.targets.iter().map(TargetStandin::address).collect();
    let calls = CALLS.min(rate * 20);
    fleet.runtime.block_on(async {
        let started = tokio::time::Instant::now();
        let mut tasks = tokio::task::JoinSet::new();
        for number in 0..calls {
            let due = started + Duration::from_secs(1) * number / rate;
            tokio::time::sleep_until(due).await;
            let (client, targets) = (client.clone(), Arc::clone(&targets));
            tasks.spawn(async move {
                let path = format!("/item/{number}?size=1000&us=0");
                let sent = Instant::now();
                if through {
                    let report = client.call(entry, &request(path)).await;
                    assert_eq!(report.verdict, Verdict::Complete, "{report:?}");
                } else {
                    let target = targets[number as usize % targets.len()];
                    client.get(target, &path).await.expect("direct call");
                }
                sent.elapsed()
            });
        }
        let mut histogram = Histogram::new_with_bounds(1, 10_000_000, 3).expect("bounds");
        for took in tasks.join_all().await {
            histogram.saturating_record(took.as_micros() as u64);
        }
        histogram
    })
}

fn request(path: String) -> CallRequest {
    CallRequest {
        service: "grillas".to_owned(),
        token: "cooperativas-token".to_owned(),
        method: "GET",
        path,
        key: None,
        body: Vec::new(),
        deadline_ms: 5_000,
    }
}
