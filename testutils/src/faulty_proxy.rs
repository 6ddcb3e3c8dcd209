//! A TCP proxy on loopback that injects faults: it delays, throttles or resets its links, or withholds data
//! in one or both directions. Faults apply to all links or only to links that are open at one moment.
//!
//! The kernel still acknowledges data that arrives on a silenced link, as a middlebox between two networks
//! may: neither `TCP_USER_TIMEOUT` nor keep-alive probes detect such a silence.

use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio_util::task::AbortOnDropHandle;

use crate::loopback;

/// Size of the buffer for forwarded data.
const BUF_BYTES: usize = 4 << 10;

/// A fault of a link between a client and the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// Data is forwarded.
    None,
    /// Data is forwarded after this delay.
    Delay(Duration),
    /// Data from the server is forwarded at this rate in bytes per second on each connection, as over a slow
    /// network.
    Throttle(u32),
    /// Connections are reset.
    Reset,
    /// Data from the server is withheld.
    OneWay,
    /// Data in both directions is withheld.
    Silent,
}

/// Direction of forwarded data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    ToServer,
    ToClient,
}

/// Number of calls so far that permanently silenced the open links.
type SilenceCount = u32;

/// Number of a link, counted from the first that the proxy accepted.
type LinkNumber = u64;

/// The links whose data is withheld in both directions until they are released.
#[derive(Clone, Debug, Default)]
struct HeldLinks(Range<LinkNumber>);

/// The faults that a link observes while it forwards data.
#[derive(Clone)]
struct LinkFaults {
    number: LinkNumber,
    faults: watch::Receiver<LinkFault>,
    held: watch::Receiver<HeldLinks>,
    silences: watch::Receiver<SilenceCount>,
    /// Number of silences before the link was opened.
    opened_after: SilenceCount,
}

impl LinkFaults {
    /// Returns immediately, or never if the link was permanently silenced.
    async fn block_if_silenced(&self) {
        if *self.silences.borrow() != self.opened_after {
            std::future::pending::<()>().await;
        }
    }

    /// Waits while the link is held.
    async fn wait_while_held(&mut self) {
        let number = self.number;
        // An error can be ignored: the sender lives as long as the proxy.
        let _ = self.held.wait_for(|held| !held.0.contains(&number)).await;
    }
}

/// A proxy in front of one server.
pub struct FaultyProxy {
    /// Address that clients connect to.
    pub address: SocketAddr,
    fault: watch::Sender<LinkFault>,
    held: watch::Sender<HeldLinks>,
    accepted: Arc<AtomicU64>,
    silences: watch::Sender<SilenceCount>,
    _accept_task: AbortOnDropHandle<()>,
}

impl FaultyProxy {
    /// Starts a proxy on a free port of `ip` in front of `server`.
    pub async fn start(ip: &str, server: SocketAddr) -> FaultyProxy {
        let listener = loopback::listen(loopback::any_port(ip)).expect("a port of the address is free");
        let address = listener.local_addr().expect("the listener is bound");
        let fault = watch::Sender::new(LinkFault::None);
        let faults = fault.subscribe();
        let held = watch::Sender::new(HeldLinks::default());
        let held_links = held.subscribe();
        let accepted: Arc<AtomicU64> = Arc::default();
        let numbers = accepted.clone();
        let silences = watch::Sender::new(0);
        let silenced = silences.subscribe();
        let accept_task = tokio::spawn(async move {
            let mut links = JoinSet::new();
            loop {
                let client = loopback::accept(&listener).await;
                let opened_after = *silenced.borrow();
                let watch = LinkFaults {
                    number: numbers.fetch_add(1, Ordering::Relaxed),
                    faults: faults.clone(),
                    held: held_links.clone(),
                    silences: silenced.clone(),
                    opened_after,
                };
                links.spawn(run_link(client, server, watch));
            }
        });
        let _accept_task = AbortOnDropHandle::new(accept_task);
        FaultyProxy { address, fault, held, accepted, silences, _accept_task }
    }

    /// Sets the fault of all links, including open ones.
    pub fn set(&self, fault: LinkFault) {
        self.fault.send_replace(fault);
    }

    /// Withholds data in both directions on the links that are open now, and on no others, until
    /// [`Self::release_links`]. Nothing is lost.
    pub fn hold_open_links(&self) {
        self.held.send_replace(HeldLinks(0..self.accepted.load(Ordering::Relaxed)));
    }

    /// Withholds data in both directions on the links that are opened from now on, and on no others, until
    /// [`Self::release_links`]. Nothing is lost.
    pub fn hold_new_links(&self) {
        self.held.send_replace(HeldLinks(self.accepted.load(Ordering::Relaxed)..LinkNumber::MAX));
    }

    /// Forwards what was withheld on held links, and all that follows.
    pub fn release_links(&self) {
        self.held.send_replace(HeldLinks::default());
    }

    /// Permanently silences the links that are open now: nothing is forwarded, not even that either side
    /// closes its connection. Links opened later are not affected.
    pub fn silence_open_links(&self) {
        self.silences.send_modify(|silences| *silences += 1);
    }
}

async fn run_link(client: TcpStream, server: SocketAddr, watch: LinkFaults) {
    let Ok(server) = TcpStream::connect(server).await else {
        return;
    };
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    // The link ends when either direction ends: the other half is dropped.
    tokio::select! {
        () = forward(from_client, to_server, Direction::ToServer, watch.clone()) => {}
        () = forward(from_server, to_client, Direction::ToClient, watch.clone()) => {}
        () = wait_for_reset(watch) => {}
    }
}

async fn wait_for_reset(mut watch: LinkFaults) {
    // An error can be ignored: the sender lives as long as the proxy.
    let _ = watch.faults.wait_for(|fault| *fault == LinkFault::Reset).await;
    watch.block_if_silenced().await;
}

async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    direction: Direction,
    mut watch: LinkFaults,
) {
    let mut buf = vec![0; BUF_BYTES];
    loop {
        let read = from.read(&mut buf).await.unwrap_or(0);
        watch.block_if_silenced().await;
        if read == 0 {
            return;
        }
        let withholds = |fault: &LinkFault| match fault {
            LinkFault::Silent => true,
            LinkFault::OneWay => direction == Direction::ToClient,
            _ => false,
        };
        let _ = watch.faults.wait_for(|fault| !withholds(fault)).await;
        watch.wait_while_held().await;
        let fault = *watch.faults.borrow();
        let delay_before_write = match fault {
            LinkFault::Delay(delay) => delay,
            LinkFault::Throttle(rate) if direction == Direction::ToClient => {
                Duration::from_secs_f64(read as f64 / f64::from(rate))
            }
            _ => Duration::ZERO,
        };
        if !delay_before_write.is_zero() {
            tokio::time::sleep(delay_before_write).await;
        }
        if to.write_all(&buf[..read]).await.is_err() {
            return;
        }
    }
}
