//! Compares selection policies in virtual time: same seed, same table.
//!
//! `cargo bench --bench policies -- [--scenario NAME] [--calls N] [--seeds N]`

mod guards;
mod model;
mod parts;
mod scenarios;
mod troubles;

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use gumdrop::Options;
use hdrhistogram::Histogram;

use crate::model::{FleetModel, ModelBudget, ModelPlan, ModelResult};
use crate::scenarios::{SCENARIOS, Scenario};

#[derive(Debug, Options)]
struct BenchOptions {
    #[options(help = "print this help")]
    help: bool,

    #[options(help = "only scenarios whose name holds this")]
    scenario: Option<String>,

    #[options(help = "only policies whose name holds this")]
    policy: Option<String>,

    #[options(no_short, help = "calls of one run", default = "60000")]
    calls: u64,

    #[options(no_short, help = "runs, each with a seed of its own, put together", default = "3")]
    seeds: u64,

    #[options(no_short, help = "accepted, as cargo passes it")]
    bench: bool,
}

/// A policy and what it may spend on measuring.
#[derive(Clone, Copy)]
struct Contender {
    label: &'static str,
    policy: &'static str,
    budget: Option<ModelBudget>,
    hedging: bool,
}

/// The budget that a daemon has by default.
const DEFAULT_BUDGET: ModelBudget = ModelBudget { messages_per_s: 50, bytes_per_s: 8_000 };

const CONTENDERS: &[Contender] = &[
    Contender { label: "random", policy: "random", budget: None, hedging: false },
    Contender { label: "round_robin", policy: "round_robin", budget: None, hedging: false },
    Contender {
        label: "least_outstanding",
        policy: "least_outstanding",
        budget: None,
        hedging: false,
    },
    Contender { label: "two_choices", policy: "two_choices", budget: None, hedging: false },
    Contender { label: "latency", policy: "latency", budget: None, hedging: false },
    Contender { label: "expected", policy: "expected_completion", budget: None, hedging: false },
    Contender {
        label: "expected+hedges",
        policy: "expected_completion",
        budget: None,
        hedging: true,
    },
    Contender {
        label: "expected+probes",
        policy: "expected_completion",
        budget: Some(DEFAULT_BUDGET),
        hedging: false,
    },
];

fn main() {
    let options = BenchOptions::parse_args_default_or_exit();
    let holds = |filter: &Option<String>, name: &str| {
        filter.as_deref().is_none_or(|filter| name.contains(filter))
    };
    let jobs: Vec<(Scenario, Contender)> = SCENARIOS
        .iter()
        .filter(|scenario| holds(&options.scenario, scenario.name))
        .flat_map(|&scenario| CONTENDERS.iter().map(move |&contender| (scenario, contender)))
        .filter(|(_, contender)| holds(&options.policy, contender.label))
        .collect();
    println!(
        "{:<15} {:<18} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7}  thirds",
        "scenario",
        "policy",
        "p50_ms",
        "p99_ms",
        "p999_ms",
        "urg_%",
        "ord_%",
        "ref_%",
        "retr_%",
        "hedg_%",
        "msg/c",
        "B/c"
    );
    let mut before = "";
    for ((scenario, contender), lines) in jobs.iter().zip(run_all(&jobs, &options)) {
        if before != scenario.name && !before.is_empty() {
            println!();
        }
        before = scenario.name;
        print_line(scenario, contender, &lines);
    }
}

/// Runs all jobs on a few threads; the results keep the jobs' order.
fn run_all(jobs: &[(Scenario, Contender)], options: &BenchOptions) -> Vec<Vec<ModelResult>> {
    let next = AtomicUsize::new(0);
    let results: Vec<Mutex<Vec<ModelResult>>> = jobs.iter().map(|_| Mutex::default()).collect();
    let workers = std::thread::available_parallelism().map_or(2, |count| count.get() / 2).max(1);
    std::thread::scope(|scope| {
        for _ in 0..workers {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    let Some((scenario, contender)) = jobs.get(index) else { return };
                    let policy = railspan::policy(contender.policy).expect("registered");
                    let runs = (1..=options.seeds).map(|seed| {
                        FleetModel::run(ModelPlan {
                            scenario: *scenario,
                            policy,
                            budget: contender.budget,
                            hedging: contender.hedging,
                            calls: options.calls,
                            seed,
                        })
                    });
                    *results[index].lock().expect("worker") = runs.collect();
                }
            });
        }
    });
    results.into_iter().map(|result| result.into_inner().expect("worker")).collect()
}

fn print_line(scenario: &Scenario, contender: &Contender, runs: &[ModelResult]) {
    let mut latencies = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("bounds");
    for run in runs {
        latencies.add(&run.latencies).expect("same bounds");
    }
    let sum = |field: fn(&ModelResult) -> u64| runs.iter().map(field).sum::<u64>() as f64;
    let calls = sum(|run| run.calls);
    let ms = |quantile| latencies.value_at_quantile(quantile) as f64 / 1_000.0;
    let thirds: Vec<String> = (0..3)
        .map(|third| {
            let served: u64 = runs.iter().map(|run| run.thirds[third].0).sum();
            let offered: u64 = runs.iter().map(|run| run.thirds[third].1).sum();
            format!("{:.1}", 100.0 * served as f64 / offered.max(1) as f64)
        })
        .collect();
    println!(
        "{:<15} {:<18} {:>7.1} {:>7.1} {:>7.1} {:>7.2} {:>7.2} {:>7.2} {:>7.2} {:>7.2} {:>7.3} {:>7.1}  {}",
        scenario.name,
        contender.label,
        ms(0.5),
        ms(0.99),
        ms(0.999),
        100.0 * sum(|run| run.urgent.0) / sum(|run| run.urgent.1),
        100.0 * sum(|run| run.ordinary.0) / sum(|run| run.ordinary.1),
        100.0 * sum(|run| run.refused) / calls,
        100.0 * sum(|run| run.retried) / calls,
        100.0 * sum(|run| run.hedged) / calls,
        sum(|run| run.probe_messages) / calls,
        sum(|run| run.probe_bytes) / calls,
        thirds.join("/"),
    );
}
