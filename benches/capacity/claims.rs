//! Rate of calls with an idempotency key that the table's write rate allows.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use railspan_standins::{CallRequest, CallerClient, Verdict};

use super::fleet::BenchFleet;

/// Numbers of concurrent callers that are measured.
const CALLER_COUNTS: &[usize] = &[4, 16, 48];

/// Number of calls of each caller.
const CALLS_PER_CALLER: usize = 60;

pub fn measure() {
    println!("callers  calls/s  complete  refused  commits/s  claims/commit");
    let fleet = BenchFleet::spawn(3, 3, "avisos", 1_000);
    for &callers in CALLER_COUNTS {
        measure_callers(&fleet, callers);
    }
}

fn measure_callers(fleet: &BenchFleet, callers: usize) {
    let client = CallerClient::open();
    let commits_before = fleet.platform.count("commit");
    let started = Instant::now();
    let refused = Arc::new(AtomicU64::new(0));
    let verdicts = fleet.runtime.block_on(async {
        let mut tasks = tokio::task::JoinSet::new();
        for caller in 0..callers {
            let (client, refused) = (client.clone(), Arc::clone(&refused));
            let entry = fleet.daemons[caller % fleet.daemons.len()].endpoints().caller;
            tasks.spawn(async move {
                let mut verdicts = Vec::new();
                for number in 0..CALLS_PER_CALLER {
                    let key = format!("{callers}-{caller}-{number}");
                    let call = request(key);
                    let mut report = client.call(entry, &call).await;
                    // Retries a refused call after the delay that the response gives.
                    while report.verdict == Verdict::NotRun {
                        let wait_ms = report.retry_after_ms.unwrap_or(1_000);
                        tokio::time::sleep(Duration::from_millis(u64::from(wait_ms))).await;
                        refused.fetch_add(1, Ordering::Relaxed);
                        report = client.call(entry, &call).await;
                    }
                    verdicts.push(report.verdict);
                }
                verdicts
            });
        }
        tasks.join_all().await.concat()
    });
    let took_s = started.elapsed().as_secs_f64();
    let count = |expected| verdicts.iter().filter(|&&verdict| verdict == expected).count();
    let commits = (fleet.platform.count("commit") - commits_before) as f64;
    println!(
        "{callers:>7} {:>8.0} {:>9} {:>8} {:>10.0} {:>14.2}",
        verdicts.len() as f64 / took_s,
        count(Verdict::Complete),
        refused.load(Ordering::Relaxed),
        commits / took_s,
        count(Verdict::Complete) as f64 / commits.max(1.0)
    );
}

fn request(key: String) -> CallRequest {
    CallRequest {
        service: "avisos".to_owned(),
        token: "cooperativas-token".to_owned(),
        method: "POST",
        path: "/bulletin?size=100".to_owned(),
        body: key.as_bytes().to_vec(),
        key: Some(key),
        deadline_ms: 5_000,
    }
}
