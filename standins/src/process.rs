//! Daemons as separate processes on loopback, for tests and the quickstart.

use std::ffi::OsString;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde::Deserialize;
use serde_json::{Value, json};
use tempfile::NamedTempFile;

use crate::process_memory::ProcessMemory;

/// Environment variable; if set, daemons' logs go to standard error.
const LOGS_VARIABLE: &str = "RAILSPAN_LOGS";

/// How a daemon is started.
#[derive(Clone, Debug)]
pub struct DaemonSpec {
    /// The program and the arguments before the settings file.
    pub command: Vec<OsString>,
    /// The host's name.
    pub host: String,
    /// The data centre's name.
    pub data_centre: String,
    /// Address of the platform's store.
    pub platform: SocketAddr,
    /// Addresses of the guard and of gossip that other daemons use, if they differ
    /// from those that the daemon listens at.
    pub advertised: Option<(SocketAddr, SocketAddr)>,
    /// Peers that the daemon asks while the platform is down.
    pub seeds: Vec<SocketAddr>,
    /// Upper bound on the duration of a planned stop, in milliseconds.
    pub stop_bound_ms: u64,
    /// Memory that the daemon may use, in MiB; its default if `None`.
    pub memory_mb: Option<u64>,
    /// Seed of the daemon's random numbers.
    pub seed: u64,
    /// File that its log is appended to, if any.
    pub log_file: Option<PathBuf>,
    /// The `deployment` part of its settings: the users' platform that it runs on,
    /// if any.
    pub deployment: Option<Value>,
}

/// The addresses at which a daemon listens.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct DaemonEndpoints {
    /// For callers.
    pub caller: SocketAddr,
    /// For calls from the entries of other daemons.
    pub guard: SocketAddr,
    /// For gossip.
    pub peer: SocketAddr,
    /// For operators, and for announcements of targets.
    pub admin: SocketAddr,
    /// For readiness checks of the users' platform.
    #[serde(default)]
    pub ready: Option<SocketAddr>,
    /// For heartbeats of the target on the same host.
    #[serde(default)]
    pub control: Option<SocketAddr>,
}

/// A daemon in a separate process, which is killed when this is dropped.
#[derive(Debug)]
pub struct DaemonProcess {
    child: Child,
    endpoints: DaemonEndpoints,
    _settings: NamedTempFile,
}

impl DaemonProcess {
    /// Starts a daemon on free loopback ports that the operating system chooses.
    ///
    /// # Errors
    ///
    /// Fails when the process can't be started or does not print its addresses.
    pub fn spawn(spec: &DaemonSpec) -> io::Result<Self> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let if_deployed = Some(any).filter(|_any| spec.deployment.is_some());
        let endpoints = DaemonEndpoints {
            caller: any,
            guard: any,
            peer: any,
            admin: any,
            ready: if_deployed,
            control: if_deployed,
        };
        Self::spawn_at(spec, &endpoints)
    }

    /// Starts a daemon at the given addresses.
    ///
    /// # Errors
    ///
    /// Fails when the process can't be started or does not print its addresses.
    pub fn spawn_at(spec: &DaemonSpec, endpoints: &DaemonEndpoints) -> io::Result<Self> {
        let mut settings = NamedTempFile::new()?;
        let mut text = json!({
            "host": spec.host,
            "data_centre": spec.data_centre,
            "caller_address": endpoints.caller,
            "guard_address": endpoints.guard,
            "peer_address": endpoints.peer,
            "admin_address": endpoints.admin,
            "platform_address": spec.platform,
            "seeds": spec.seeds,
            "stop_bound_ms": spec.stop_bound_ms,
            "seed": spec.seed,
        });
        if let Some(memory_mb) = spec.memory_mb {
            text["memory_mb"] = json!(memory_mb);
        }
        if let Some((guard, peer)) = spec.advertised {
            text["advertised_guard_address"] = json!(guard);
            text["advertised_peer_address"] = json!(peer);
        }
        if let Some(deployment) = &spec.deployment {
            text["deployment"] = deployment.clone();
            text["deployment"]["ready_address"] = json!(endpoints.ready);
            text["deployment"]["control_address"] = json!(endpoints.control);
            text["one_thread"] = json!(true);
        }
        settings.write_all(text.to_string().as_bytes())?;
        let (program, arguments) = spec
            .command
            .split_first()
            .ok_or_else(|| io::Error::other("the daemon's command is empty"))?;
        let logs = std::env::var_os(LOGS_VARIABLE).is_some();
        let mut child = Command::new(program)
            .args(arguments)
            .arg(settings.path())
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(if logs { Stdio::inherit() } else { Stdio::null() })
            .spawn()?;
        let stdout = child.stdout.take().ok_or_else(|| io::Error::other("no standard output"))?;
        // Kills the process if it is dropped early.
        let mut daemon = Self { child, endpoints: *endpoints, _settings: settings };
        let mut reader = BufReader::new(stdout);
        daemon.endpoints = read_endpoints(&mut reader)?;
        let file = spec.log_file.as_ref();
        let file = file.map(|path| File::options().create(true).append(true).open(path));
        let file = file.transpose()?;
        std::thread::spawn(move || forward_log(reader, logs, file));
        Ok(daemon)
    }

    /// Returns where the daemon listens.
    #[must_use]
    pub const fn endpoints(&self) -> &DaemonEndpoints {
        &self.endpoints
    }

    /// Returns the process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the memory that the process has resident, in kB.
    ///
    /// # Errors
    ///
    /// Fails when the process has exited.
    pub fn resident_kb(&self) -> io::Result<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let number = line.and_then(|line| line.trim().split(' ').next()?.parse().ok());
        number.ok_or_else(|| io::Error::other("the process has no memory"))
    }

    /// Returns the memory of the process, with what its sockets have received.
    ///
    /// # Errors
    ///
    /// Fails when the process has exited.
    pub fn memory(&self) -> io::Result<ProcessMemory> {
        let DaemonEndpoints { caller, guard, peer, admin, ready, control } = self.endpoints;
        let addresses = [Some(caller), Some(guard), Some(peer), Some(admin), ready, control];
        let ports: Vec<u16> = addresses.iter().flatten().map(SocketAddr::port).collect();
        ProcessMemory::read(self.child.id(), &ports)
    }

    /// Suspends the process with SIGSTOP, which it can't notice.
    ///
    /// # Errors
    ///
    /// Fails when the process has exited and was waited for.
    pub fn freeze(&self) -> io::Result<()> {
        self.signal(Signal::SIGSTOP)
    }

    /// Resumes a suspended process with SIGCONT.
    ///
    /// # Errors
    ///
    /// Fails when the process has exited and was waited for.
    pub fn thaw(&self) -> io::Result<()> {
        self.signal(Signal::SIGCONT)
    }

    /// Requests a planned stop with SIGTERM.
    ///
    /// # Errors
    ///
    /// Fails when the process has exited and was waited for.
    pub fn terminate(&self) -> io::Result<()> {
        self.signal(Signal::SIGTERM)
    }

    /// Requests with SIGHUP that the daemon reads its settings again.
    ///
    /// # Errors
    ///
    /// Fails when the process has exited and was waited for.
    pub fn request_reload(&self) -> io::Result<()> {
        self.signal(Signal::SIGHUP)
    }

    /// Kills the process at once.
    ///
    /// # Errors
    ///
    /// Fails when the process can't be waited for.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(drop)
    }

    /// Waits for the process to exit; `None` if it still runs after `limit`.
    ///
    /// # Errors
    ///
    /// Fails when the process can't be waited for.
    pub fn wait(&mut self, limit: Duration) -> io::Result<Option<ExitStatus>> {
        let until = Instant::now() + limit;
        loop {
            let status = self.child.try_wait()?;
            if status.is_some() || Instant::now() >= until {
                return Ok(status);
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    fn signal(&self, signal: Signal) -> io::Result<()> {
        let id = i32::try_from(self.child.id()).map_err(io::Error::other)?;
        kill(Pid::from_raw(id), signal).map_err(io::Error::from)
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        // Killing fails if the process has exited already.
        drop(self.kill());
    }
}

/// Reads the addresses that a daemon prints; lines of its log may precede them.
fn read_endpoints(reader: &mut impl BufRead) -> io::Result<DaemonEndpoints> {
    let mut line = String::new();
    while reader.read_line(&mut line)? > 0 {
        if let Ok(endpoints) = serde_json::from_str(&line) {
            return Ok(endpoints);
        }
        line.clear();
    }
    Err(io::Error::other("the daemon ended before it printed its addresses"))
}

/// Reads a daemon's log lines, so that its pipe never fills up, and passes them on.
fn forward_log(mut reader: impl BufRead, to_stderr: bool, mut file: Option<File>) {
    let mut line = String::new();
    while reader.read_line(&mut line).is_ok_and(|length| length > 0) {
        if to_stderr {
            eprint!("{line}");
        }
        if let Some(file) = &mut file
            && let Err(error) = file.write_all(line.as_bytes())
        {
            eprintln!("can't write a daemon's log file; the rest of its log is lost: {error}");
            return;
        }
        line.clear();
    }
}
