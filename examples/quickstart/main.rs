//! A whole fleet on loopback, as separate processes, under mixed calls.
//!
//! The example starts itself again for each part: the platform, the daemons
//! and the targets. `--kill N` kills a daemon half-way through the calls.

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

type Outcome<T> = Result<T, Box<dyn Error + Send + Sync>>;

/// Longest wait for the fleet to come up.
const START_LIMIT: Duration = Duration::from_secs(30);

/// Time a caller has, in milliseconds.
const DEADLINE_MS: u32 = 3_000;

/// Times a caller comes back after `not run`, when told to.
const COME_BACKS: u32 = 4;

#[derive(Debug, Options)]
struct QuickOptions {
    #[options(help = "print this help")]
    help: bool,

    #[options(help = "whose services: fundacion or consortium", default = "fundacion")]
    users: String,

    #[options(help = "calls to make", default = "2000")]
    calls: u32,

    #[options(help = "calls under way at once", default = "48")]
    at_once: usize,

    #[options(no_short, help = "kill the daemon of this number, from 0, half-way")]
    kill: Option<usize>,

    #[options(no_short, help = "seed of the calls", default = "1")]
    seed: u64,

    #[options(no_short, help = "play one part of the fleet (internal)")]
    part: Option<String>,

    #[options(free)]
    arguments: Vec<String>,
}

fn main() -> ExitCode {
    let options = QuickOptions::parse_args_default_or_exit();
    let ended = match options.part.as_deref() {
        Some("daemon") => play_daemon(&options.arguments),
        Some("platform") => play_platform(),
        Some("target") => play_target(&options.arguments),
        Some(other) => Err(format!("no part `{other}`").into()),
        None => run(&options),
    };
    ended.unwrap_or_else(|error| {
        eprintln!("{error}");
        ExitCode::from(2)
    })
}

fn play_daemon(arguments: &[String]) -> Outcome<ExitCode> {
    let file = arguments.first().ok_or("expected a settings file")?;
    let settings = DaemonSettings::parse(file, &std::fs::read_to_string(file)?)?;
    let kept = settings.clone();
    let parts = DaemonParts {
        client: open_store(settings.platform_address),
        adapter: railspan::adapter(),
        reload: Box::new(move || Ok(kept.clone())),
    };
    let daemon = railspan::spawn(&settings, parts)?;
    println!("{}", serde_json::to_string(daemon.addresses())?);
    daemon.wait();
    Ok(ExitCode::SUCCESS)
}

fn play_platform() -> Outcome<ExitCode> {
    let platform = PlatformStandin::spawn("127.0.0.1:0".parse()?, PlatformLimits::default())?;
    println!("{}", platform.address());
    wait_for_parent()
}

fn play_target(arguments: &[String]) -> Outcome<ExitCode> {
    let [service, name, daemon, slots, service_us, seed] = arguments else {
        return Err("expected service, name, daemon, slots, service_us, seed".into());
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

/// Ends when the parent closes the pipe, also when it was killed.
fn wait_for_parent() -> Outcome<ExitCode> {
    std::io::copy(&mut std::io::stdin(), &mut std::io::sink())?;
    Ok(ExitCode::SUCCESS)
}

/// A stand-in as a process of its own; killed when dropped.
struct PartProcess {
    child: Child,
    address: SocketAddr,
}

impl PartProcess {
    fn spawn(part: &str, arguments: &[String]) -> Outcome<Self> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(["--part", part])
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let mut line = String::new();
        let stdout = child.stdout.take().ok_or("no output")?;
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

fn run(options: &QuickOptions) -> Outcome<ExitCode> {
    let user = match options.users.as_str() {
        "fundacion" => &FUNDACION,
        "consortium" => &CONSORTIUM,
        other => return Err(format!("no users `{other}`; fundacion or consortium").into()),
    };
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let mut fleet = start_fleet(user)?;
    runtime.block_on(publish(user, fleet.platform.address))?;
    let places: Vec<DaemonEndpoints> =
        fleet.daemons.iter().map(|daemon| *daemon.endpoints()).collect();
    runtime.block_on(wait_ready(user, &places))?;
    let (reports, posted) = runtime.block_on(make_calls(options, user, &places, &mut fleet))?;
    let runs = runtime.block_on(read_runs(&fleet))?;
    Ok(conclude(&reports, &posted, &runs))
}

fn start_fleet(user: &UserFleet) -> Outcome<Fleet> {
    let platform = PartProcess::spawn("platform", &[])?;
    let program = std::env::current_exe()?;
    let mut daemons = Vec::new();
    let mut targets = Vec::new();
    let sizes =
        user.services.iter().flat_map(|service| (0..service.targets).map(move |n| (service, n)));
    for (index, (service, number)) in sizes.enumerate() {
        let daemon = DaemonProcess::spawn(&DaemonSpec {
            advertised: None,
            log_file: None,
            command: vec![program.clone().into(), "--part".into(), "daemon".into()],
            host: format!("host-{}-{number}", service.name),
            data_centre: user.centres[number % user.centres.len()].to_owned(),
            platform: platform.address,
            seeds: Vec::new(),
            stop_bound_ms: 5_000,
            seed: index as u64,
            deployment: None,
        })?;
        // Every second host is an old one, half as fast.
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

async fn publish(user: &UserFleet, platform: SocketAddr) -> Outcome<()> {
    let config = FleetConfig::parse("template", user.template)?;
    railspan::publish(&open_store(platform), &config, "quickstart", None).await?;
    Ok(())
}

/// Waits until every service answers through every daemon.
async fn wait_ready(user: &UserFleet, places: &[DaemonEndpoints]) -> Outcome<()> {
    let client = CallerClient::open();
    let until = Instant::now() + START_LIMIT;
    for place in places {
        for service in &user.services {
            let call = read_call(service.name, user.tokens[0], "/ready?size=10");
            while client.call(place.caller, &call).await.verdict != Verdict::Complete {
                if Instant::now() > until {
                    return Err("the fleet did not come up".into());
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

/// Draws the calls: mostly reads, some of what must not repeat.
fn draw_calls(options: &QuickOptions, user: &UserFleet) -> Vec<CallRequest> {
    let mut rng = Pcg64Mcg::seed_from_u64(options.seed);
    let mut calls = Vec::new();
    for number in 0..options.calls {
        let service = user.services[rng.random_range(0..user.services.len())];
        let token = user.tokens[rng.random_range(0..user.tokens.len())];
        let size = [200, 2_000, 40_000][rng.random_range(0..3)];
        let mut call = read_call(service.name, token, &format!("/item/{number}?size={size}"));
        if service.posts && rng.random_range(0..4) == 0 {
            call.method = "POST";
            // Only short answers are recorded for repeats.
            call.path = format!("/item/{number}?size=300");
            call.key = Some(format!("key-{number}"));
            call.body = format!("body of {number}").into_bytes();
        }
        calls.push(call);
    }
    calls
}

async fn make_calls(
    options: &QuickOptions,
    user: &UserFleet,
    places: &[DaemonEndpoints],
    fleet: &mut Fleet,
) -> Outcome<(Vec<CallReport>, Vec<String>)> {
    let calls = draw_calls(options, user);
    let posted = calls.iter().filter_map(|call| call.key.clone()).collect();
    let bar = ProgressBar::new(u64::from(options.calls));
    bar.set_style(ProgressStyle::with_template("calls {bar:40} {pos}/{len} {elapsed}")?);
    let client = CallerClient::open();
    let gate = Arc::new(Semaphore::new(options.at_once));
    let places: Arc<[DaemonEndpoints]> = Arc::from(places);
    let mut tasks = JoinSet::new();
    for (number, call) in calls.into_iter().enumerate() {
        let permit = Arc::clone(&gate).acquire_owned().await?;
        if number == options.calls as usize / 2
            && let Some(killed) = options.kill
        {
            let daemon = fleet.daemons.get_mut(killed).ok_or("no such daemon to kill")?;
            daemon.kill()?;
        }
        let (client, bar, places) = (client.clone(), bar.clone(), Arc::clone(&places));
        tasks.spawn(async move {
            let report = call_until_run(&client, &places, number, &call).await;
            bar.inc(1);
            drop(permit);
            report
        });
    }
    let reports = tasks.join_all().await;
    bar.finish();
    Ok((reports, posted))
}

/// Calls, and comes back when told to, through the next daemon.
async fn call_until_run(
    client: &CallerClient,
    places: &[DaemonEndpoints],
    number: usize,
    call: &CallRequest,
) -> CallReport {
    let mut tries = 0;
    loop {
        let place = &places[(number + tries as usize) % places.len()];
        let report = client.call(place.caller, call).await;
        tries += 1;
        let come_back = match report.verdict {
            Verdict::NotRun => report.retry_after_ms,
            // A repeat of a read, or of a keyed call, is safe.
            Verdict::Broken | Verdict::Unknown => Some(20),
            _ => None,
        };
        match come_back {
            Some(wait) if tries <= COME_BACKS => {
                tokio::time::sleep(Duration::from_millis(u64::from(wait))).await;
            }
            _ => return report,
        }
    }
}

/// Reads from the targets what they ran.
async fn read_runs(fleet: &Fleet) -> Outcome<Vec<TargetRun>> {
    let mut runs = Vec::new();
    for target in &fleet.targets {
        runs.extend(railspan_standins::fetch_runs(target.address).await?);
    }
    Ok(runs)
}

fn conclude(reports: &[CallReport], posted: &[String], runs: &[TargetRun]) -> ExitCode {
    let count = |verdict| reports.iter().filter(|report| report.verdict == verdict).count();
    let mut latencies = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3)
        .unwrap_or_else(|_| unreachable!("the bounds are constants"));
    for report in reports.iter().filter(|report| report.verdict == Verdict::Complete) {
        latencies.saturating_record(report.took.as_micros() as u64);
    }
    let mut ran: HashMap<&str, usize> = HashMap::new();
    for key in runs.iter().filter_map(|run| run.key.as_deref()) {
        *ran.entry(key).or_default() += 1;
    }
    let run_twice =
        posted.iter().filter(|key| ran.get(key.as_str()).is_some_and(|&n| n > 1)).count();
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
