//! Listeners and sockets of a daemon, and their addresses.

use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::rc::Rc;

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};
use socket2::{Domain, SockRef, Socket, Type};
use tokio::task::spawn_local;

use crate::base::connection_plan::RECEIVE_BUFFER_BYTES;
use crate::base::ids::HostName;
use crate::duty::connections::ConnectionRoom;
use crate::duty::events::GuardEvent;
use crate::duty::readiness::DaemonReadiness;
use crate::duty::ring::RingSender;
use crate::process::adapter::DeploymentAdapter;
use crate::process::control;
use crate::process::settings::{DaemonSettings, DeploymentSettings};

/// Number of connections that may wait to be accepted: a system drops the opening packet of
/// further ones, which their peers repeat only after a second.
const ACCEPT_BACKLOG: i32 = 1_024;

/// Maximum number of attempts to find a port that is free for both TCP and UDP.
const MAX_PORT_ATTEMPTS: u32 = 32;

/// Reason for which a daemon could not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StartError {
    /// An address can't be bound.
    #[snafu(display("can't listen on {address}: {source}"))]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A thread can't be started.
    #[snafu(display("can't start a thread: {source}"))]
    Thread {
        /// Error of the operating system.
        source: io::Error,
    },
    /// A metric can't be registered.
    #[snafu(display("can't register metrics: {source}"))]
    Metrics {
        /// Error of the metrics library.
        source: prometheus::Error,
    },
}

/// Addresses at which a running daemon listens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonAddresses {
    /// Host of the daemon.
    pub host: HostName,
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for the entries of other daemons.
    pub guard: SocketAddr,
    /// Address for gossip.
    pub peer: SocketAddr,
    /// Address for operators and the host's targets.
    pub admin: SocketAddr,
    /// Address for the platform's readiness checks, in a deployment.
    pub ready: Option<SocketAddr>,
    /// Address for the reports of the host's target, in a deployment.
    pub control: Option<SocketAddr>,
}

/// Listeners for a deployment's platform and the host's target.
pub(crate) struct PlatformListeners {
    pub(crate) ready: TcpListener,
    pub(crate) control: TcpListener,
}

/// All bound listeners and sockets of a daemon.
pub(crate) struct DaemonListeners {
    pub(crate) caller: TcpListener,
    pub(crate) admin: TcpListener,
    pub(crate) guard: (TcpListener, UdpSocket),
    pub(crate) peer: (TcpListener, UdpSocket),
    pub(crate) probe: UdpSocket,
    pub(crate) platform: Option<PlatformListeners>,
}

impl PlatformListeners {
    /// Serves the platform and the host's target until the runtime ends; `rooms` are those of
    /// readiness checks and of reports.
    pub(crate) fn serve(
        self,
        rooms: [Rc<ConnectionRoom>; 2],
        adapter: &'static DeploymentAdapter,
        readiness: DaemonReadiness,
        reports: RingSender<GuardEvent>,
    ) -> io::Result<()> {
        let [ready_room, control_room] = rooms;
        let ready = tokio::net::TcpListener::from_std(self.ready)?;
        let control = tokio::net::TcpListener::from_std(self.control)?;
        spawn_local(control::serve_readiness(ready, ready_room, adapter, readiness));
        spawn_local(control::serve_reports(control, control_room, adapter, reports));
        Ok(())
    }
}

pub(crate) fn bind_all(settings: &DaemonSettings) -> Result<DaemonListeners, StartError> {
    let deployment = settings.deployment.as_ref();
    Ok(DaemonListeners {
        caller: bind_small_buffers(settings.caller_address)?,
        admin: bind_small_buffers(settings.admin_address)?,
        guard: bind_tcp_and_udp(settings.guard_address)?,
        peer: bind_tcp_and_udp(settings.peer_address)?,
        probe: bind_udp(SocketAddr::new(settings.guard_address.ip(), 0))?,
        platform: deployment.map(bind_platform_listeners).transpose()?,
    })
}

pub(crate) fn bound_addresses(
    settings: &DaemonSettings,
    listeners: &DaemonListeners,
) -> Result<DaemonAddresses, StartError> {
    let bound = listeners.platform.as_ref();
    let deployment = settings.deployment.as_ref();
    let ready = bound
        .zip(deployment)
        .map(|(bound, settings)| local_address(&bound.ready, settings.ready_address));
    let control = bound
        .zip(deployment)
        .map(|(bound, settings)| local_address(&bound.control, settings.control_address));
    Ok(DaemonAddresses {
        host: settings.host.clone(),
        caller: local_address(&listeners.caller, settings.caller_address)?,
        guard: local_address(&listeners.guard.0, settings.guard_address)?,
        peer: local_address(&listeners.peer.0, settings.peer_address)?,
        admin: local_address(&listeners.admin, settings.admin_address)?,
        ready: ready.transpose()?,
        control: control.transpose()?,
    })
}

fn bind_platform_listeners(
    deployment: &DeploymentSettings,
) -> Result<PlatformListeners, StartError> {
    Ok(PlatformListeners {
        ready: bind_small_buffers(deployment.ready_address)?,
        control: bind_small_buffers(deployment.control_address)?,
    })
}

fn bind_tcp(address: SocketAddr) -> Result<TcpListener, StartError> {
    let listener = TcpListener::bind(address).context(ListenSnafu { address })?;
    listener.set_nonblocking(true).context(ListenSnafu { address })?;
    Ok(listener)
}

/// Binds a listener whose connections have small receive buffers: any number of peers may send
/// without being read.
fn bind_small_buffers(address: SocketAddr) -> Result<TcpListener, StartError> {
    let bind = || {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_cloexec(true)?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(ACCEPT_BACKLOG)?;
        Ok(TcpListener::from(socket))
    };
    let listener = bind().context(ListenSnafu { address })?;
    // A system that refuses this has its own limit.
    drop(SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES));
    Ok(listener)
}

fn bind_udp(address: SocketAddr) -> Result<UdpSocket, StartError> {
    let socket = UdpSocket::bind(address).context(ListenSnafu { address })?;
    socket.set_nonblocking(true).context(ListenSnafu { address })?;
    Ok(socket)
}

/// Binds one port for TCP and UDP.
fn bind_tcp_and_udp(address: SocketAddr) -> Result<(TcpListener, UdpSocket), StartError> {
    let mut attempts = 0;
    loop {
        let listener = bind_tcp(address)?;
        attempts += 1;
        match bind_udp(local_address(&listener, address)?) {
            Ok(socket) => return Ok((listener, socket)),
            // The operating system chose a port that is in use for UDP; it chooses another one.
            Err(_taken) if address.port() == 0 && attempts < MAX_PORT_ATTEMPTS => {}
            Err(error) => return Err(error),
        }
    }
}

fn local_address(listener: &TcpListener, address: SocketAddr) -> Result<SocketAddr, StartError> {
    listener.local_addr().context(ListenSnafu { address })
}
