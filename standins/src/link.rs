//! A proxy on loopback that injects network faults.
//!
//! Each link forwards to one address of one process: TCP and, on request, UDP.
//! Faults can change while connections are open.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::runtime::Handle;
use tokio::sync::watch;

/// Interval at which a blocked transfer checks whether the link is still cut.
const CUT_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Size of the buffer for one read, in bytes.
const BUFFER_BYTES: usize = 16 << 10;

/// Largest number of sockets that are kept for senders of datagrams.
const MAX_SENDERS: usize = 256;

/// Direction in which bytes pass through a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkDirection {
    /// To the process behind the link.
    Inbound,
    /// From the process behind the link.
    Outbound,
}

#[derive(Debug)]
struct LinkState {
    /// Address of the process behind the link, if already set.
    upstream: Mutex<Option<SocketAddr>>,
    delay_ms: AtomicU64,
    cut_inbound: AtomicBool,
    cut_outbound: AtomicBool,
    /// Number of [`FaultyLink::silence`] calls; a connection that was opened under an
    /// earlier number passes nothing any more.
    silences: AtomicU64,
    /// Whether connections that are open or opened now fall silent for good.
    mute: AtomicBool,
    /// Number of [`FaultyLink::reset`] calls.
    resets: watch::Sender<u64>,
}

impl LinkState {
    fn upstream(&self) -> Option<SocketAddr> {
        *self.upstream.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_cut(&self, direction: LinkDirection) -> bool {
        let cut = match direction {
            LinkDirection::Inbound => &self.cut_inbound,
            LinkDirection::Outbound => &self.cut_outbound,
        };
        cut.load(Ordering::Relaxed)
    }

    /// Returns whether a connection that was opened after `silences_at_open` calls of
    /// [`FaultyLink::silence`] passes nothing any more.
    fn is_silent(&self, silences_at_open: u64) -> bool {
        self.mute.load(Ordering::Relaxed)
            || self.silences.load(Ordering::Relaxed) != silences_at_open
    }
}

/// A running link, whose tasks end with the runtime.
#[derive(Clone, Debug)]
pub struct FaultyLink {
    address: SocketAddr,
    state: Arc<LinkState>,
}

impl FaultyLink {
    /// Binds a link, which forwards nothing before [`Self::set_upstream`]. With
    /// `datagrams`, it forwards UDP at the same port as well.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
    pub fn bind(runtime: &Handle, datagrams: bool) -> io::Result<Self> {
        let (listener, socket) = runtime.block_on(bind_both(datagrams))?;
        let address = listener.local_addr()?;
        let state = Arc::new(LinkState {
            upstream: Mutex::default(),
            delay_ms: AtomicU64::new(0),
            cut_inbound: AtomicBool::new(false),
            cut_outbound: AtomicBool::new(false),
            silences: AtomicU64::new(0),
            mute: AtomicBool::new(false),
            resets: watch::Sender::new(0),
        });
        runtime.spawn(accept(listener, Arc::clone(&state)));
        if let Some(socket) = socket {
            runtime.spawn(relay_datagrams(Arc::new(socket), Arc::clone(&state)));
        }
        Ok(Self { address, state })
    }

    /// Returns the address at which the link listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the address of the process for new connections and for datagrams.
    pub fn set_upstream(&self, upstream: SocketAddr) {
        *self.state.upstream.lock().unwrap_or_else(PoisonError::into_inner) = Some(upstream);
    }

    /// Delays each read of a connection by this many milliseconds; zero for no delay.
    pub fn delay(&self, millis: u64) {
        self.state.delay_ms.store(millis, Ordering::Relaxed);
    }

    /// Blocks a direction or unblocks it: streams wait, datagrams are lost.
    pub fn cut(&self, direction: LinkDirection, cut: bool) {
        let flag = match direction {
            LinkDirection::Inbound => &self.state.cut_inbound,
            LinkDirection::Outbound => &self.state.cut_outbound,
        };
        flag.store(cut, Ordering::Relaxed);
    }

    /// Silently discards all further bytes of connections open now, and leaves them
    /// open. New connections work.
    pub fn silence(&self) {
        self.state.silences.fetch_add(1, Ordering::Relaxed);
    }

    /// Silences all connections that are open or opened from now on, until it is called with
    /// `false`; those stay silent.
    pub fn mute(&self, mute: bool) {
        self.state.mute.store(mute, Ordering::Relaxed);
        self.silence();
    }

    /// Resets all connections open now.
    pub fn reset(&self) {
        self.state.resets.send_modify(|resets| *resets += 1);
    }

    /// Ends delays, cuts and silence; silenced connections remain silent.
    pub fn heal(&self) {
        self.delay(0);
        if self.state.mute.load(Ordering::Relaxed) {
            self.mute(false);
        }
        self.cut(LinkDirection::Inbound, false);
        self.cut(LinkDirection::Outbound, false);
    }
}

async fn bind_both(datagrams: bool) -> io::Result<(TcpListener, Option<UdpSocket>)> {
    loop {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        if !datagrams {
            return Ok((listener, None));
        }
        // The operating system chose a port that is free for TCP; for UDP it may be
        // in use.
        if let Ok(socket) = UdpSocket::bind(listener.local_addr()?).await {
            return Ok((listener, Some(socket)));
        }
    }
}

async fn accept(listener: TcpListener, state: Arc<LinkState>) {
    loop {
        let Ok((client, _)) = listener.accept().await else { continue };
        tokio::spawn(relay_connection(client, Arc::clone(&state)));
    }
}

/// Forwards a connection to the process and back until both directions have ended or
/// the connection is reset.
async fn relay_connection(client: TcpStream, state: Arc<LinkState>) {
    let silences_at_open = state.silences.load(Ordering::Relaxed);
    let mut resets = state.resets.subscribe();
    while state.is_cut(LinkDirection::Inbound) {
        tokio::time::sleep(CUT_CHECK_INTERVAL).await;
    }
    let Some(upstream) = state.upstream() else { return };
    let Ok(server) = TcpStream::connect(upstream).await else {
        // Resets the connection, as a port without a listener does.
        drop(client.set_zero_linger());
        return;
    };
    drop(client.set_nodelay(true));
    drop(server.set_nodelay(true));
    let (mut client_read, mut client_write) = client.into_split();
    let (mut server_read, mut server_write) = server.into_split();
    let reset = tokio::select! {
        () = async {
            tokio::join!(
                copy_stream(
                    &mut client_read,
                    &mut server_write,
                    &state,
                    LinkDirection::Inbound,
                    silences_at_open,
                ),
                copy_stream(
                    &mut server_read,
                    &mut client_write,
                    &state,
                    LinkDirection::Outbound,
                    silences_at_open,
                ),
            );
        } => false,
        _ = resets.changed() => true,
    };
    if reset {
        for half in [client_write.as_ref(), server_write.as_ref()] {
            drop(half.set_zero_linger());
        }
    }
}

/// Copies one direction of a connection, with the link's faults.
async fn copy_stream(
    from: &mut (impl AsyncReadExt + Unpin),
    to: &mut (impl AsyncWriteExt + Unpin),
    state: &LinkState,
    direction: LinkDirection,
    silences_at_open: u64,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(length) = from.read(&mut buffer).await {
        let millis = state.delay_ms.load(Ordering::Relaxed);
        if millis > 0 {
            tokio::time::sleep(Duration::from_millis(millis)).await;
        }
        while state.is_cut(direction) {
            tokio::time::sleep(CUT_CHECK_INTERVAL).await;
        }
        if state.is_silent(silences_at_open) {
            // Neither bytes nor the end of the stream are forwarded any more.
            discard_forever(from).await;
        }
        if length == 0 || to.write_all(&buffer[..length]).await.is_err() {
            break;
        }
    }
    drop(to.shutdown().await);
}

/// Discards a stream up to its end, then waits forever.
async fn discard_forever(from: &mut (impl AsyncReadExt + Unpin)) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while from.read(&mut buffer).await.is_ok_and(|length| length > 0) {}
    std::future::pending::<()>().await;
}

/// Forwards datagrams, with one socket for each sender, so that replies can be returned
/// to it.
async fn relay_datagrams(client: Arc<UdpSocket>, state: Arc<LinkState>) {
    let mut senders: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok((length, from)) = client.recv_from(&mut buffer).await else { continue };
        let Some(upstream) = state.upstream() else { continue };
        if state.is_cut(LinkDirection::Inbound) {
            continue;
        }
        if !senders.contains_key(&from) {
            if senders.len() >= MAX_SENDERS {
                senders.clear();
            }
            let Ok(server) = UdpSocket::bind("127.0.0.1:0").await else { continue };
            let server = Arc::new(server);
            tokio::spawn(relay_replies(
                Arc::clone(&server),
                Arc::clone(&client),
                from,
                Arc::clone(&state),
            ));
            senders.insert(from, server);
        }
        drop(senders[&from].try_send_to(&buffer[..length], upstream));
    }
}

/// Returns datagrams of the process to one sender.
async fn relay_replies(
    server: Arc<UdpSocket>,
    client: Arc<UdpSocket>,
    to: SocketAddr,
    state: Arc<LinkState>,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok((length, _)) = server.recv_from(&mut buffer).await {
        if !state.is_cut(LinkDirection::Outbound) {
            drop(client.try_send_to(&buffer[..length], to));
        }
    }
}
