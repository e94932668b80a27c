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

/// Set to let daemons' logs through to standard error.
const LOGS_VARIABLE: &str = "RAILSPAN_LOGS";

/// What a daemon is started with.
#[derive(Clone, Debug)]
pub struct DaemonSpec {
    /// The program and the arguments before the settings file.
    pub command: Vec<OsString>,
    /// The host's name.
    pub host: String,
    /// The data centre's name.
    pub data_centre: String,
    /// The platform.
    pub platform: SocketAddr,
    /// Where other daemons reach its guard and its peer duty, if not directly.
    pub advertised: Option<(SocketAddr, SocketAddr)>,
    /// Peers to ask when the platform is down.
    pub seeds: Vec<SocketAddr>,
    /// Longest planned stop, in milliseconds.
    pub stop_bound_ms: u64,
    /// Seed of the daemon's random numbers.
    pub seed: u64,
    /// Where its log goes, if anywhere; added to what stands there.
    pub log_file: Option<PathBuf>,
    /// Settings of the platform that it is deployed on, if any.
    pub deployment: Option<Value>,
}

/// Where a daemon listens.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct DaemonEndpoints {
    /// For callers.
    pub caller: SocketAddr,
    /// For other daemons' entries.
    pub guard: SocketAddr,
    /// For gossip.
    pub peer: SocketAddr,
    /// For operators and targets.
    pub admin: SocketAddr,
    /// For the platform's question whether it is ready.
    #[serde(default)]
    pub ready: Option<SocketAddr>,
    /// For the reports of the host's target.
    #[serde(default)]
    pub control: Option<SocketAddr>,
}

/// A daemon as a process of its own; killed when dropped.
#[derive(Debug)]
pub struct DaemonProcess {
    child: Child,
    place: DaemonEndpoints,
    _settings: NamedTempFile,
}

impl DaemonProcess {
    /// Starts a daemon on loopback ports of the system's choice.
    ///
    /// # Errors
    ///
    /// Fails when the process can't be started or does not say where it is.
    pub fn spawn(spec: &DaemonSpec) -> io::Result<Self> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let ports = Some(any).filter(|_any| spec.deployment.is_some());
        let place = DaemonEndpoints {
            caller: any,
            guard: any,
            peer: any,
            admin: any,
            ready: ports,
            control: ports,
        };
        Self::spawn_at(spec, &place)
    }

    /// Starts a daemon at the given addresses.
    ///
    /// # Errors
    ///
    /// Fails when the process can't be started or does not say where it is.
    pub fn spawn_at(spec: &DaemonSpec, place: &DaemonEndpoints) -> io::Result<Self> {
        let mut settings = NamedTempFile::new()?;
        let mut text = json!({
            "host": spec.host,
            "data_centre": spec.data_centre,
            "caller_address": place.caller,
            "guard_address": place.guard,
            "peer_address": place.peer,
            "admin_address": place.admin,
            "platform_address": spec.platform,
            "seeds": spec.seeds,
            "stop_bound_ms": spec.stop_bound_ms,
            "seed": spec.seed,
        });
        if let Some((guard, peer)) = spec.advertised {
            text["advertised_guard_address"] = json!(guard);
            text["advertised_peer_address"] = json!(peer);
        }
        if let Some(deployment) = &spec.deployment {
            text["deployment"] = deployment.clone();
            text["deployment"]["ready_address"] = json!(place.ready);
            text["deployment"]["control_address"] = json!(place.control);
            text["one_thread"] = json!(true);
        }
        settings.write_all(text.to_string().as_bytes())?;
        let (program, arguments) =
            spec.command.split_first().ok_or_else(|| io::Error::other("no program"))?;
        let logs = std::env::var_os(LOGS_VARIABLE).is_some();
        let mut child = Command::new(program)
            .args(arguments)
            .arg(settings.path())
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(if logs { Stdio::inherit() } else { Stdio::null() })
            .spawn()?;
        let mut line = String::new();
        if let Some(stdout) = child.stdout.take() {
            let mut reader = BufReader::new(stdout);
            reader.read_line(&mut line)?;
            let file = spec.log_file.as_ref();
            let file = file.map(|path| File::options().create(true).append(true).open(path));
            let file = file.transpose()?;
            std::thread::spawn(move || pass_on(reader, logs, file));
        }
        let place = serde_json::from_str(&line).map_err(io::Error::other)?;
        Ok(Self { child, place, _settings: settings })
    }

    /// Returns where the daemon listens.
    #[must_use]
    pub const fn endpoints(&self) -> &DaemonEndpoints {
        &self.place
    }

    /// Returns the process's id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Stops the process where it stands, without its knowing.
    ///
    /// # Errors
    ///
    /// Fails when the process is gone.
    pub fn freeze(&self) -> io::Result<()> {
        self.signal(Signal::SIGSTOP)
    }

    /// Lets a frozen process go on.
    ///
    /// # Errors
    ///
    /// Fails when the process is gone.
    pub fn thaw(&self) -> io::Result<()> {
        self.signal(Signal::SIGCONT)
    }

    /// Asks for a planned stop.
    ///
    /// # Errors
    ///
    /// Fails when the process is gone.
    pub fn terminate(&self) -> io::Result<()> {
        self.signal(Signal::SIGTERM)
    }

    /// Says that the settings may have changed.
    ///
    /// # Errors
    ///
    /// Fails when the process is gone.
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

    /// Waits for the process to end by itself; nothing if it does not in time.
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
        // A process that ended already can't be killed, and need not be.
        drop(self.kill());
    }
}

/// Takes a daemon's log lines, so that they never fill its pipe.
fn pass_on(mut reader: impl BufRead, show: bool, mut file: Option<File>) {
    let mut line = String::new();
    while reader.read_line(&mut line).is_ok_and(|length| length > 0) {
        if show {
            eprint!("{line}");
        }
        if let Some(file) = &mut file
            && let Err(error) = file.write_all(line.as_bytes())
        {
            eprintln!("a daemon's log is cut off: {error}");
            return;
        }
        line.clear();
    }
}
