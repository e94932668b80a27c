//! Compares selection policies in virtual time. Equal seeds give equal tables.
//!
//! `cargo bench --bench policies -- [--scenario NAME] [--calls N] [--seeds N]`

mod disturbances;
mod guards;
mod model;
mod parts;
mod scenarios;

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use gumdrop::Options;
use hdrhistogram::Histogram;

use crate::model::{FleetModel, ModelBudget, ModelPlan, ModelResult};
use crate::scenarios::{SCENARIOS, Scenario};

/// Command line of the bench.
#[derive(Debug, Options)]
struct BenchOptions {
    #[options(help = "print this help")]
    help: bool,

    #[options(help = "only scenarios whose name contains this")]
    scenario: Option<String>,

    #[options(help = "only policies whose name contains this")]
    policy: Option<String>,

    #[options(no_short, help = "approximate number of calls of each run", default = "60000")]
    calls: u64,

    #[options(
        no_short,
        help = "number of runs with different seeds, whose results are merged",
        default = "3"
    )]
    seeds: u64,

    #[options(no_short, help = "ignored; cargo passes it")]
    bench: bool,
}

/// A policy with its probe budget and hedging; it gets one line of the table for each
/// scenario.
#[derive(Clone, Copy)]
struct PolicyVariant {
    label: &'static str,
    policy: &'static str,
    budget: Option<ModelBudget>,
    hedging: bool,
}

/// The probe budget that a daemon has by default.
const DEFAULT_BUDGET: ModelBudget = ModelBudget { messages_per_s: 50, bytes_per_s: 8_000 };

const POLICY_VARIANTS: &[PolicyVariant] = &[
    PolicyVariant { label: "random", policy: "random", budget: None, hedging: false },
    PolicyVariant { label: "round_robin", policy: "round_robin", budget: None, hedging: false },
    PolicyVariant {
        label: "least_outstanding",
        policy: "least_outstanding",
        budget: None,
        hedging: false,
    },
    PolicyVariant { label: "two_choices", policy: "two_choices", budget: None, hedging: false },
    PolicyVariant { label: "latency", policy: "latency", budget: None, hedging: false },
    PolicyVariant {
        label: "expected",
        policy: "expected_completion",
        budget: None,
        hedging: false,
    },
    PolicyVariant {
        label: "expected+hedges",
        policy: "expected_completion",
        budget: None,
        hedging: true,
    },
    PolicyVariant {
        label: "expected+probes",
        policy: "expected_completion",
        budget: Some(DEFAULT_BUDGET),
        hedging: false,
    },
];

fn main() {
    let options = BenchOptions::parse_args_default_or_exit();
    let matches = |filter: &Option<String>, name: &str| {
        filter.as_deref().is_none_or(|filter| name.contains(filter))
    };
    let jobs: Vec<(Scenario, PolicyVariant)> = SCENARIOS
        .iter()
        .filter(|scenario| matches(&options.scenario, scenario.name))
        .flat_map(|&scenario| POLICY_VARIANTS.iter().map(move |&variant| (scenario, variant)))
        .filter(|(_, variant)| matches(&options.policy, variant.label))
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
    let mut last_scenario = "";
    for ((scenario, variant), lines) in jobs.iter().zip(run_all(&jobs, &options)) {
        if last_scenario != scenario.name && !last_scenario.is_empty() {
            println!();
        }
        last_scenario = scenario.name;
        print_line(scenario, variant, &lines);
    }
}

/// Runs all jobs on half of the processors; the results are in the order of the jobs.
fn run_all(jobs: &[(Scenario, PolicyVariant)], options: &BenchOptions) -> Vec<Vec<ModelResult>> {
    let next = AtomicUsize::new(0);
    let results: Vec<Mutex<Vec<ModelResult>>> = jobs.iter().map(|_| Mutex::default()).collect();
    let workers = std::thread::available_parallelism().map_or(2, |count| count.get() / 2).max(1);
    std::thread::scope(|scope| {
        for _ in 0..workers {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    let Some((scenario, variant)) = jobs.get(index) else { return };
                    let policy = railspan::policy(variant.policy).expect("registered");
                    let runs = (1..=options.seeds).map(|seed| {
                        FleetModel::run(ModelPlan {
                            scenario: *scenario,
                            policy,
                            budget: variant.budget,
                            hedging: variant.hedging,
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

/// Prints one line of the table, merged from the runs of all seeds.
fn print_line(scenario: &Scenario, variant: &PolicyVariant, runs: &[ModelResult]) {
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
        variant.label,
        ms(0.5),
        ms(0.99),
        ms(0.999),
        100.0 * sum(|run| run.urgent_worth.0) / sum(|run| run.urgent_worth.1),
        100.0 * sum(|run| run.ordinary_worth.0) / sum(|run| run.ordinary_worth.1),
        100.0 * sum(|run| run.refused) / calls,
        100.0 * sum(|run| run.retried) / calls,
        100.0 * sum(|run| run.hedged) / calls,
        sum(|run| run.probe_messages) / calls,
        sum(|run| run.probe_bytes) / calls,
        thirds.join("/"),
    );
}
