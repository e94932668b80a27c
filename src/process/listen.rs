//! The addresses that a daemon listens at.

use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};
use tokio::task::spawn_local;

use crate::base::ids::HostName;
use crate::duty::events::GuardEvent;
use crate::duty::readiness::DaemonReadiness;
use crate::duty::ring::RingSender;
use crate::process::adapter::DeploymentAdapter;
use crate::process::control;
use crate::process::settings::{DaemonSettings, DeploymentSettings};

/// Tries to find a port that is free for TCP and UDP alike.
const PORT_TRIES: u32 = 32;

/// Why a daemon did not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StartError {
    /// An address can't be had.
    #[snafu(display("can't listen on {address}: {source}"))]
    Listen {
        /// The address of the settings.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// A thread can't be had.
    #[snafu(display("can't start a thread: {source}"))]
    Thread {
        /// What the system said.
        source: io::Error,
    },
    /// A counter can't be registered.
    #[snafu(display("can't register metrics: {source}"))]
    Metrics {
        /// What the library said.
        source: prometheus::Error,
    },
}

/// Where a running daemon listens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonAddresses {
    /// Its host.
    pub host: HostName,
    /// For callers.
    pub caller: SocketAddr,
    /// For other daemons' entries.
    pub guard: SocketAddr,
    /// For gossip.
    pub peer: SocketAddr,
    /// For operators and the host's targets.
    pub admin: SocketAddr,
    /// For the platform's question whether it is ready, if deployed on one.
    pub ready: Option<SocketAddr>,
    /// For the reports of the host's target, if deployed on a platform.
    pub control: Option<SocketAddr>,
}

/// A daemon's listeners for its deployment's platform.
pub(crate) struct DeployedListeners {
    pub(crate) ready: TcpListener,
    pub(crate) control: TcpListener,
}

/// Everything of a daemon that is bound to an address.
pub(crate) struct DaemonListeners {
    pub(crate) caller: TcpListener,
    pub(crate) admin: TcpListener,
    pub(crate) guard: (TcpListener, UdpSocket),
    pub(crate) peer: (TcpListener, UdpSocket),
    pub(crate) probe: UdpSocket,
    pub(crate) deployed: Option<DeployedListeners>,
}

impl DeployedListeners {
    /// Serves the platform until the runtime ends.
    pub(crate) fn serve(
        self,
        adapter: &'static DeploymentAdapter,
        readiness: DaemonReadiness,
        reports: RingSender<GuardEvent>,
    ) -> io::Result<()> {
        let ready = tokio::net::TcpListener::from_std(self.ready)?;
        let control = tokio::net::TcpListener::from_std(self.control)?;
        spawn_local(control::serve_ready(ready, adapter, readiness));
        spawn_local(control::serve_reports(control, adapter, reports));
        Ok(())
    }
}

pub(crate) fn bind_all(settings: &DaemonSettings) -> Result<DaemonListeners, StartError> {
    let deployment = settings.deployment.as_ref();
    Ok(DaemonListeners {
        caller: listen(settings.caller_address)?,
        admin: listen(settings.admin_address)?,
        guard: listen_both(settings.guard_address)?,
        peer: listen_both(settings.peer_address)?,
        probe: bind_udp(SocketAddr::new(settings.guard_address.ip(), 0))?,
        deployed: deployment.map(listen_deployed).transpose()?,
    })
}

pub(crate) fn bound_addresses(
    settings: &DaemonSettings,
    listeners: &DaemonListeners,
) -> Result<DaemonAddresses, StartError> {
    let deployed = listeners.deployed.as_ref();
    let deployment = settings.deployment.as_ref();
    let ready = deployed.zip(deployment).map(|(own, set)| local(&own.ready, set.ready_address));
    let control =
        deployed.zip(deployment).map(|(own, set)| local(&own.control, set.control_address));
    Ok(DaemonAddresses {
        host: settings.host.clone(),
        caller: local(&listeners.caller, settings.caller_address)?,
        guard: local(&listeners.guard.0, settings.guard_address)?,
        peer: local(&listeners.peer.0, settings.peer_address)?,
        admin: local(&listeners.admin, settings.admin_address)?,
        ready: ready.transpose()?,
        control: control.transpose()?,
    })
}

fn listen_deployed(deployment: &DeploymentSettings) -> Result<DeployedListeners, StartError> {
    Ok(DeployedListeners {
        ready: listen(deployment.ready_address)?,
        control: listen(deployment.control_address)?,
    })
}

fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    let listener = TcpListener::bind(address).context(ListenSnafu { address })?;
    listener.set_nonblocking(true).context(ListenSnafu { address })?;
    Ok(listener)
}

fn bind_udp(address: SocketAddr) -> Result<UdpSocket, StartError> {
    let socket = UdpSocket::bind(address).context(ListenSnafu { address })?;
    socket.set_nonblocking(true).context(ListenSnafu { address })?;
    Ok(socket)
}

/// Binds one port for TCP and UDP.
fn listen_both(address: SocketAddr) -> Result<(TcpListener, UdpSocket), StartError> {
    let mut tries = 0;
    loop {
        let listener = listen(address)?;
        tries += 1;
        match bind_udp(local(&listener, address)?) {
            Ok(socket) => return Ok((listener, socket)),
            // The system chose the port: let it choose another.
            Err(_taken) if address.port() == 0 && tries < PORT_TRIES => {}
            Err(error) => return Err(error),
        }
    }
}

fn local(listener: &TcpListener, address: SocketAddr) -> Result<SocketAddr, StartError> {
    listener.local_addr().context(ListenSnafu { address })
}
