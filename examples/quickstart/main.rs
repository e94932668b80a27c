//! Runs a whole fleet on loopback, as separate processes, under a mix of calls.
//!
//! The example starts its own binary again for each part: the platform, the daemons and
//! the targets. `--kill N` kills a daemon half-way through the calls.

use std::collections::HashMap;
use std::error::Error;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use gumdrop::Options;
use hdrhistogram::Histogram;
use indicatif::{ProgressBar, ProgressStyle};
use railspan::{DaemonParts, DaemonSettings, FleetConfig, open_store};
use railspan_standins::{
    CallReport, CallRequest, CallerClient, DaemonEndpoints, DaemonProcess, DaemonSpec,
    PlatformLimits, PlatformStandin, TargetOptions, TargetRun, TargetStandin, Verdict,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

mod users;

use users::{CONSORTIUM, FUNDACION, UserFleet};

type BoxResult<T> = Result<T, Box<dyn Error + Send + Sync>>;

/// Time within which the fleet must be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Deadline of a call, in milliseconds.
const DEADLINE_MS: u32 = 3_000;

/// Largest number of retries of a call after an outcome that allows them.
const MAX_RETRIES: u32 = 4;

#[derive(Debug, Options)]
struct QuickstartOptions {
    #[options(help = "print this help")]
    help: bool,

    #[options(help = "user whose services run: fundacion or consortium", default = "fundacion")]
    users: String,

    #[options(help = "number of calls", default = "2000")]
    calls: u32,

    #[options(help = "number of concurrent calls", default = "48")]
    at_once: usize,

    #[options(
        no_short,
        help = "kill the daemon with this index, from 0, half-way through the calls"
    )]
    kill: Option<usize>,

    #[options(no_short, help = "seed of the random calls", default = "1")]
    seed: u64,

    #[options(no_short, help = "run one part of the fleet (internal)")]
    part: Option<String>,

    #[options(free)]
    arguments: Vec<String>,
}

fn main() -> ExitCode {
    let options = QuickstartOptions::parse_args_default_or_exit();
    let exit_code = match options.part.as_deref() {
        Some("daemon") => run_daemon(&options.arguments),
        Some("platform") => run_platform(),
        Some("target") => run_target(&options.arguments),
        Some(other) => {
            Err(format!("unknown part `{other}`; expected daemon, platform or target").into())
        }
        None => run(&options),
    };
    exit_code.unwrap_or_else(|error| {
        eprintln!("{error}");
        ExitCode::from(2)
    })
}

fn run_daemon(arguments: &[String]) -> BoxResult<ExitCode> {
    let file = arguments.first().ok_or("the daemon needs the path of a settings file")?;
    let settings = DaemonSettings::parse(file, &std::fs::read_to_string(file)?)?;
    let reloaded = settings.clone();
    let parts = DaemonParts {
        client: open_store(settings.platform_address),
        adapter: railspan::adapter(),
        reload: Box::new(move || Ok(reloaded.clone())),
    };
    let daemon = railspan::spawn(&settings, parts)?;
    println!("{}", serde_json::to_string(daemon.addresses())?);
    daemon.wait();
    Ok(ExitCode::SUCCESS)
}

fn run_platform() -> BoxResult<ExitCode> {
    let platform = PlatformStandin::spawn("127.0.0.1:0".parse()?, PlatformLimits::default())?;
    println!("{}", platform.address());
    wait_for_parent()
}

fn run_target(arguments: &[String]) -> BoxResult<ExitCode> {
    let [service, name, daemon, slots, service_us, seed] = arguments else {
        return Err("the target needs service, name, daemon, slots, service_us and seed".into());
    };
    let target = TargetStandin::spawn(TargetOptions {
        service: service.clone(),
        name: name.clone(),
        address: "127.0.0.1:0".parse()?,
        daemon: daemon.parse()?,
        slots: slots.parse()?,
        service_us: service_us.parse()?,
        seed: seed.parse()?,
    })?;
    println!("{}", target.address());
    wait_for_parent()
}

/// Waits until the parent closes the pipe to stdin or ends, even if it was killed.
fn wait_for_parent() -> BoxResult<ExitCode> {
    std::io::copy(&mut std::io::stdin(), &mut std::io::sink())?;
    Ok(ExitCode::SUCCESS)
}

/// A stand-in as a separate process, which is killed on drop.
struct PartProcess {
    child: Child,
    address: SocketAddr,
}

impl PartProcess {
    fn spawn(part: &str, arguments: &[String]) -> BoxResult<Self> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(["--part", part])
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let mut line = String::new();
        let stdout = child.stdout.take().ok_or("the output of the child process is not piped")?;
        BufReader::new(stdout).read_line(&mut line)?;
        let address = line.trim().parse()?;
        Ok(Self { child, address })
    }
}

impl Drop for PartProcess {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

/// All processes of the fleet.
struct Fleet {
    daemons: Vec<DaemonProcess>,
    targets: Vec<PartProcess>,
    platform: PartProcess,
}

fn run(options: &QuickstartOptions) -> BoxResult<ExitCode> {
    let user = match options.users.as_str() {
        "fundacion" => &FUNDACION,
        "consortium" => &CONSORTIUM,
        other => {
            return Err(format!("unknown user `{other}`; expected fundacion or consortium").into());
        }
    };
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let mut fleet = start_fleet(user)?;
    runtime.block_on(publish(user, fleet.platform.address))?;
    let daemons: Vec<DaemonEndpoints> =
        fleet.daemons.iter().map(|daemon| *daemon.endpoints()).collect();
    runtime.block_on(wait_ready(user, &daemons))?;
    let (reports, post_keys) = runtime.block_on(make_calls(options, user, &daemons, &mut fleet))?;
    let runs = runtime.block_on(read_runs(&fleet))?;
    Ok(summarise(&reports, &post_keys, &runs))
}

fn start_fleet(user: &UserFleet) -> BoxResult<Fleet> {
    let platform = PartProcess::spawn("platform", &[])?;
    let program = std::env::current_exe()?;
    let mut daemons = Vec::new();
    let mut targets = Vec::new();
    let services =
        user.services.iter().flat_map(|service| (0..service.targets).map(move |n| (service, n)));
    for (index, (service, number)) in services.enumerate() {
        let daemon = DaemonProcess::spawn(&DaemonSpec {
            advertised: None,
            log_file: None,
            command: vec![program.clone().into(), "--part".into(), "daemon".into()],
            host: format!("host-{}-{number}", service.name),
            data_centre: user.data_centres[number % user.data_centres.len()].to_owned(),
            platform: platform.address,
            seeds: Vec::new(),
            stop_bound_ms: 5_000,
            memory_mb: None,
            seed: index as u64,
            deployment: None,
        })?;
        // Every second host is older and half as fast.
        let service_us = if index % 2 == 0 { 4_000 } else { 8_000 };
        let target = PartProcess::spawn(
            "target",
            &[
                service.name.to_owned(),
                format!("{}-{number}", service.name),
                daemon.endpoints().admin.to_string(),
                user.slots.to_string(),
                service_us.to_string(),
                index.to_string(),
            ],
        )?;
        daemons.push(daemon);
        targets.push(target);
    }
    Ok(Fleet { daemons, targets, platform })
}

async fn publish(user: &UserFleet, platform: SocketAddr) -> BoxResult<()> {
    let config = FleetConfig::parse("template", user.template)?;
    railspan::publish(&open_store(platform), &config, "quickstart", None).await?;
    Ok(())
}

/// Waits until every service answers through every daemon.
///
/// Fails if that takes longer than `READY_TIMEOUT`.
async fn wait_ready(user: &UserFleet, daemons: &[DaemonEndpoints]) -> BoxResult<()> {
    let client = CallerClient::open();
    let ready_by = Instant::now() + READY_TIMEOUT;
    for daemon in daemons {
        for service in &user.services {
            let call = read_call(service.name, user.tokens[0], "/ready?size=10");
            while client.call(daemon.caller, &call).await.verdict != Verdict::Complete {
                if Instant::now() > ready_by {
                    return Err(format!("the fleet was not ready within {READY_TIMEOUT:?}").into());
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
    Ok(())
}

fn read_call(service: &str, token: &str, path: &str) -> CallRequest {
    CallRequest {
        service: service.to_owned(),
        token: token.to_owned(),
        method: "GET",
        path: path.to_owned(),
        key: None,
        body: Vec::new(),
        deadline_ms: DEADLINE_MS,
    }
}

/// Draws the calls: mostly reads, and some `POST` calls, which must not run twice.
fn draw_calls(options: &QuickstartOptions, user: &UserFleet) -> Vec<CallRequest> {
    let mut rng = Pcg64Mcg::seed_from_u64(options.seed);
    let mut calls = Vec::new();
    for number in 0..options.calls {
        let service = user.services[rng.random_range(0..user.services.len())];
        let token = user.tokens[rng.random_range(0..user.tokens.len())];
        let size = [200, 2_000, 40_000][rng.random_range(0..3)];
        let mut call = read_call(service.name, token, &format!("/item/{number}?size={size}"));
        if service.has_posts && rng.random_range(0..4) == 0 {
            call.method = "POST";
            // Only short answers are recorded for repeated calls.
            call.path = format!("/item/{number}?size=300");
            call.key = Some(format!("key-{number}"));
            call.body = format!("body of {number}").into_bytes();
        }
        calls.push(call);
    }
    calls
}

async fn make_calls(
    options: &QuickstartOptions,
    user: &UserFleet,
    daemons: &[DaemonEndpoints],
    fleet: &mut Fleet,
) -> BoxResult<(Vec<CallReport>, Vec<String>)> {
    let calls = draw_calls(options, user);
    let post_keys = calls.iter().filter_map(|call| call.key.clone()).collect();
    let bar = ProgressBar::new(u64::from(options.calls));
    bar.set_style(ProgressStyle::with_template("calls {bar:40} {pos}/{len} {elapsed}")?);
    let client = CallerClient::open();
    let call_limit = Arc::new(Semaphore::new(options.at_once));
    let daemons: Arc<[DaemonEndpoints]> = Arc::from(daemons);
    let mut tasks = JoinSet::new();
    for (number, call) in calls.into_iter().enumerate() {
        let permit = Arc::clone(&call_limit).acquire_owned().await?;
        if number == options.calls as usize / 2
            && let Some(index) = options.kill
        {
            let daemon = fleet
                .daemons
                .get_mut(index)
                .ok_or("the index of the daemon to kill is out of range")?;
            daemon.kill()?;
        }
        let (client, bar, daemons) = (client.clone(), bar.clone(), Arc::clone(&daemons));
        tasks.spawn(async move {
            let report = call_until_run(&client, &daemons, number, &call).await;
            bar.inc(1);
            drop(permit);
            report
        });
    }
    let reports = tasks.join_all().await;
    bar.finish();
    Ok((reports, post_keys))
}

/// Makes a call; retries it through the next daemon if its outcome allows it.
async fn call_until_run(
    client: &CallerClient,
    daemons: &[DaemonEndpoints],
    number: usize,
    call: &CallRequest,
) -> CallReport {
    let mut attempts = 0;
    loop {
        let daemon = &daemons[(number + attempts as usize) % daemons.len()];
        let report = client.call(daemon.caller, call).await;
        attempts += 1;
        let retry_after_ms = match report.verdict {
            Verdict::NotRun => report.retry_after_ms,
            // Reads, and calls with an idempotency key, are safe to repeat.
            Verdict::Broken | Verdict::Unknown => Some(20),
            _ => None,
        };
        match retry_after_ms {
            Some(delay_ms) if attempts <= MAX_RETRIES => {
                tokio::time::sleep(Duration::from_millis(u64::from(delay_ms))).await;
            }
            _ => return report,
        }
    }
}

/// Fetches from all targets the calls that they ran.
async fn read_runs(fleet: &Fleet) -> BoxResult<Vec<TargetRun>> {
    let mut runs = Vec::new();
    for target in &fleet.targets {
        runs.extend(railspan_standins::fetch_runs(target.address).await?);
    }
    Ok(runs)
}

/// Prints a summary; fails if an answer was wrong or a `POST` call ran twice.
fn summarise(reports: &[CallReport], post_keys: &[String], runs: &[TargetRun]) -> ExitCode {
    let count = |verdict| reports.iter().filter(|report| report.verdict == verdict).count();
    let mut latencies = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3)
        .unwrap_or_else(|_| unreachable!("the bounds are constants"));
    for report in reports.iter().filter(|report| report.verdict == Verdict::Complete) {
        latencies.saturating_record(report.took.as_micros() as u64);
    }
    let mut run_counts: HashMap<&str, usize> = HashMap::new();
    for key in runs.iter().filter_map(|run| run.key.as_deref()) {
        *run_counts.entry(key).or_default() += 1;
    }
    let run_twice =
        post_keys.iter().filter(|key| run_counts.get(key.as_str()).is_some_and(|&n| n > 1)).count();
    let wrong = count(Verdict::Wrong);
    println!(
        "calls={} complete={} wrong={wrong} not_run={} unknown={} broken={} run_twice={run_twice} \
         p50_ms={:.2} p99_ms={:.2}",
        reports.len(),
        count(Verdict::Complete),
        count(Verdict::NotRun),
        count(Verdict::Unknown),
        count(Verdict::Broken) + count(Verdict::TargetError),
        latencies.value_at_quantile(0.5) as f64 / 1_000.0,
        latencies.value_at_quantile(0.99) as f64 / 1_000.0,
    );
    if wrong == 0 && run_twice == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
