//! How many keyed calls a second the table's writes carry.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use railspan_standins::{CallRequest, CallerClient, Verdict};

use super::fleet::BenchFleet;

/// Callers at once.
const AT_ONCE: &[usize] = &[4, 16, 48];

/// Calls of each caller.
const EACH: usize = 60;

pub fn measure() {
    println!("callers  calls/s  complete  refused  commits/s  claims/commit");
    let fleet = BenchFleet::spawn(3, 3, "avisos", 1_000);
    for &callers in AT_ONCE {
        measure_callers(&fleet, callers);
    }
}

fn measure_callers(fleet: &BenchFleet, callers: usize) {
    let client = CallerClient::open();
    let before = fleet.platform.count("commit");
    let began = Instant::now();
    let refused = Arc::new(AtomicU64::new(0));
    let verdicts = fleet.runtime.block_on(async {
        let mut tasks = tokio::task::JoinSet::new();
        for caller in 0..callers {
            let (client, refused) = (client.clone(), Arc::clone(&refused));
            let place = fleet.daemons[caller % fleet.daemons.len()].endpoints().caller;
            tasks.spawn(async move {
                let mut verdicts = Vec::new();
                for number in 0..EACH {
                    let key = format!("{callers}-{caller}-{number}");
                    let call = request(key);
                    let mut report = client.call(place, &call).await;
                    // As a caller should: come back when told to.
                    while report.verdict == Verdict::NotRun {
                        let wait = report.retry_after_ms.unwrap_or(1_000);
                        tokio::time::sleep(Duration::from_millis(u64::from(wait))).await;
                        refused.fetch_add(1, Ordering::Relaxed);
                        report = client.call(place, &call).await;
                    }
                    verdicts.push(report.verdict);
                }
                verdicts
            });
        }
        tasks.join_all().await.concat()
    });
    let took = began.elapsed().as_secs_f64();
    let count = |wanted| verdicts.iter().filter(|&&verdict| verdict == wanted).count();
    let commits = (fleet.platform.count("commit") - before) as f64;
    println!(
        "{callers:>7} {:>8.0} {:>9} {:>8} {:>10.0} {:>14.2}",
        verdicts.len() as f64 / took,
        count(Verdict::Complete),
        refused.load(Ordering::Relaxed),
        commits / took,
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
