//! A proxy on loopback that spoils what passes through it.
//!
//! One link stands before one address of one process, for TCP and, where asked,
//! for UDP. Faults change while connections are open.

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

/// Time between two looks of a held-up pump at whether it may go on.
const HELD_UP: Duration = Duration::from_millis(20);

/// Longest piece that passes at once, in bytes.
const PIECE: usize = 16 << 10;

/// Sockets that remember where datagrams came from, at most.
const MAX_SENDERS: usize = 256;

/// Which way bytes go through a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkDirection {
    /// Towards the process that the link stands before.
    Inbound,
    /// Back to who connected.
    Outbound,
}

#[derive(Debug)]
struct LinkState {
    /// The process; nothing while it has no address.
    process: Mutex<Option<SocketAddr>>,
    delay_ms: AtomicU64,
    cut_inward: AtomicBool,
    cut_outward: AtomicBool,
    /// Grows when all open connections fall silent for good.
    silences: AtomicU64,
    /// Grows when all open connections are reset.
    resets: watch::Sender<u64>,
}

impl LinkState {
    fn process(&self) -> Option<SocketAddr> {
        *self.process.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_cut(&self, way: LinkDirection) -> bool {
        let cut = match way {
            LinkDirection::Inbound => &self.cut_inward,
            LinkDirection::Outbound => &self.cut_outward,
        };
        cut.load(Ordering::Relaxed)
    }
}

/// A running link; its tasks end with the runtime.
#[derive(Clone, Debug)]
pub struct FaultyLink {
    address: SocketAddr,
    state: Arc<LinkState>,
}

impl FaultyLink {
    /// Binds a link that carries nothing until [`Self::set_upstream`].
    ///
    /// # Errors
    ///
    /// Fails when no port can be had.
    pub fn bind(runtime: &Handle, datagrams: bool) -> io::Result<Self> {
        let (listener, socket) = runtime.block_on(bind_both(datagrams))?;
        let address = listener.local_addr()?;
        let state = Arc::new(LinkState {
            process: Mutex::default(),
            delay_ms: AtomicU64::new(0),
            cut_inward: AtomicBool::new(false),
            cut_outward: AtomicBool::new(false),
            silences: AtomicU64::new(0),
            resets: watch::Sender::new(0),
        });
        runtime.spawn(accept(listener, Arc::clone(&state)));
        if let Some(socket) = socket {
            runtime.spawn(relay_datagrams(Arc::new(socket), Arc::clone(&state)));
        }
        Ok(Self { address, state })
    }

    /// Returns where others connect.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Says where the process is now.
    pub fn set_upstream(&self, process: SocketAddr) {
        *self.state.process.lock().unwrap_or_else(PoisonError::into_inner) = Some(process);
    }

    /// Holds up each piece by some milliseconds; zero ends it.
    pub fn delay(&self, millis: u64) {
        self.state.delay_ms.store(millis, Ordering::Relaxed);
    }

    /// Lets nothing pass one way: streams wait, datagrams are lost.
    pub fn cut(&self, way: LinkDirection, cut: bool) {
        let flag = match way {
            LinkDirection::Inbound => &self.state.cut_inward,
            LinkDirection::Outbound => &self.state.cut_outward,
        };
        flag.store(cut, Ordering::Relaxed);
    }

    /// Swallows all that comes on connections open now; new ones work.
    pub fn silence(&self) {
        self.state.silences.fetch_add(1, Ordering::Relaxed);
    }

    /// Resets all connections open now.
    pub fn reset(&self) {
        self.state.resets.send_modify(|resets| *resets += 1);
    }

    /// Ends all faults but the silence of connections that fell silent.
    pub fn heal(&self) {
        self.delay(0);
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
        // The system chose the port for TCP; it may be taken for UDP.
        if let Ok(socket) = UdpSocket::bind(listener.local_addr()?).await {
            return Ok((listener, Some(socket)));
        }
    }
}

async fn accept(listener: TcpListener, state: Arc<LinkState>) {
    loop {
        let Ok((outer, _)) = listener.accept().await else { continue };
        tokio::spawn(join(outer, Arc::clone(&state)));
    }
}

/// Joins a connection to one of the process, until either ends.
async fn join(outer: TcpStream, state: Arc<LinkState>) {
    let born = state.silences.load(Ordering::Relaxed);
    let mut resets = state.resets.subscribe();
    while state.is_cut(LinkDirection::Inbound) {
        tokio::time::sleep(HELD_UP).await;
    }
    let Some(process) = state.process() else { return };
    let Ok(inner) = TcpStream::connect(process).await else {
        // As a port without a listener does.
        drop(outer.set_zero_linger());
        return;
    };
    drop(outer.set_nodelay(true));
    drop(inner.set_nodelay(true));
    let (mut outer_read, mut outer_write) = outer.into_split();
    let (mut inner_read, mut inner_write) = inner.into_split();
    let reset = tokio::select! {
        () = async {
            tokio::join!(
                pump(&mut outer_read, &mut inner_write, &state, LinkDirection::Inbound, born),
                pump(&mut inner_read, &mut outer_write, &state, LinkDirection::Outbound, born),
            );
        } => false,
        _ = resets.changed() => true,
    };
    if reset {
        for half in [outer_write.as_ref(), inner_write.as_ref()] {
            drop(half.set_zero_linger());
        }
    }
}

async fn pump(
    from: &mut (impl AsyncReadExt + Unpin),
    to: &mut (impl AsyncWriteExt + Unpin),
    state: &LinkState,
    way: LinkDirection,
    born: u64,
) {
    let mut buffer = vec![0; PIECE];
    while let Ok(length) = from.read(&mut buffer).await {
        let millis = state.delay_ms.load(Ordering::Relaxed);
        if millis > 0 {
            tokio::time::sleep(Duration::from_millis(millis)).await;
        }
        while state.is_cut(way) {
            tokio::time::sleep(HELD_UP).await;
        }
        if state.silences.load(Ordering::Relaxed) != born {
            // Neither bytes nor the end of the stream pass any more.
            continue_silently(from).await;
        }
        if length == 0 || to.write_all(&buffer[..length]).await.is_err() {
            break;
        }
    }
    drop(to.shutdown().await);
}

/// Swallows a stream to its end, and then waits for ever.
async fn continue_silently(from: &mut (impl AsyncReadExt + Unpin)) {
    let mut buffer = vec![0; PIECE];
    while from.read(&mut buffer).await.is_ok_and(|length| length > 0) {}
    std::future::pending::<()>().await;
}

/// Relays datagrams, each sender by a socket of its own, so that answers find back.
async fn relay_datagrams(outer: Arc<UdpSocket>, state: Arc<LinkState>) {
    let mut senders: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    let mut buffer = vec![0; PIECE];
    loop {
        let Ok((length, from)) = outer.recv_from(&mut buffer).await else { continue };
        let Some(process) = state.process() else { continue };
        if state.is_cut(LinkDirection::Inbound) {
            continue;
        }
        if !senders.contains_key(&from) {
            if senders.len() >= MAX_SENDERS {
                senders.clear();
            }
            let Ok(inner) = UdpSocket::bind("127.0.0.1:0").await else { continue };
            let inner = Arc::new(inner);
            tokio::spawn(answer_datagrams(
                Arc::clone(&inner),
                Arc::clone(&outer),
                from,
                Arc::clone(&state),
            ));
            senders.insert(from, inner);
        }
        drop(senders[&from].try_send_to(&buffer[..length], process));
    }
}

async fn answer_datagrams(
    inner: Arc<UdpSocket>,
    outer: Arc<UdpSocket>,
    to: SocketAddr,
    state: Arc<LinkState>,
) {
    let mut buffer = vec![0; PIECE];
    while let Ok((length, _)) = inner.recv_from(&mut buffer).await {
        if !state.is_cut(LinkDirection::Outbound) {
            drop(outer.try_send_to(&buffer[..length], to));
        }
    }
}
