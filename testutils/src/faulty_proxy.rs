//! A TCP proxy on loopback that injects faults: it delays, throttles or resets its links, or withholds data
//! in one or both directions. Faults apply to all links or only to links that are open at one moment.
//!
//! The kernel still acknowledges data that arrives on a silenced link, as a middlebox between two networks
//! may: neither `TCP_USER_TIMEOUT` nor keep-alive probes detect such a silence.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use socket2::SockRef;
use socket2::Socket;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio_util::task::AbortOnDropHandle;

use crate::loopback;
use crate::packet_filter;

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

/// What a partition does to the connections that are open when it begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenLinks {
    /// They carry no packets until the partition ends.
    Hang,
    /// They are reset.
    Reset,
    /// They live on.
    LiveOn,
}

/// The clients that are partitioned from the server: their connection attempts hang.
#[derive(Clone, Debug, Default)]
struct Partition {
    clients: Vec<Ipv4Addr>,
    open_links: Option<OpenLinks>,
}

impl Partition {
    /// What happens to the open links of a client; `None` if it is not partitioned.
    fn open_links_of(&self, client: IpAddr) -> Option<OpenLinks> {
        self.open_links.filter(|_| self.clients.iter().any(|cut| IpAddr::V4(*cut) == client))
    }
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
    client: IpAddr,
    partition: watch::Receiver<Partition>,
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

    /// Waits while the link's client is partitioned and its open links hang.
    async fn wait_while_partitioned(&mut self) {
        let client = self.client;
        let hangs = |partition: &Partition| partition.open_links_of(client) == Some(OpenLinks::Hang);
        // An error can be ignored: the sender lives as long as the proxy.
        let _ = self.partition.wait_for(|partition| !hangs(partition)).await;
    }

    /// Waits until the link's client is partitioned and its open links are reset.
    async fn until_reset_by_partition(&mut self) {
        let client = self.client;
        let resets = |partition: &Partition| partition.open_links_of(client) == Some(OpenLinks::Reset);
        // An error can be ignored: the sender lives as long as the proxy.
        let _ = self.partition.wait_for(resets).await;
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
    partition: watch::Sender<Partition>,
    listener: Arc<TcpListener>,
    clients: Arc<Mutex<Vec<IpAddr>>>,
    accepted: Arc<AtomicU64>,
    silences: watch::Sender<SilenceCount>,
    _accept_task: AbortOnDropHandle<()>,
}

impl FaultyProxy {
    /// Starts a proxy on a free port of `ip` in front of `server`.
    pub async fn start(ip: &str, server: SocketAddr) -> FaultyProxy {
        let listener = loopback::listen(loopback::any_port(ip)).expect("a port of the address is free");
        let listener = Arc::new(listener);
        let (accepting, partition) = (listener.clone(), watch::Sender::new(Partition::default()));
        let partitions = partition.subscribe();
        let clients: Arc<Mutex<Vec<IpAddr>>> = Arc::default();
        let seen_clients = clients.clone();
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
                let client = loopback::accept(&accepting).await;
                let Ok(peer) = client.peer_addr() else {
                    continue;
                };
                seen_clients.lock().expect("no holder panics").push(peer.ip());
                let opened_after = *silenced.borrow();
                let watch = LinkFaults {
                    number: numbers.fetch_add(1, Ordering::Relaxed),
                    faults: faults.clone(),
                    held: held_links.clone(),
                    client: peer.ip(),
                    partition: partitions.clone(),
                    silences: silenced.clone(),
                    opened_after,
                };
                links.spawn(run_link(client, server, watch));
            }
        });
        let _accept_task = AbortOnDropHandle::new(accept_task);
        FaultyProxy { address, fault, held, partition, listener, clients, accepted, silences, _accept_task }
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

    /// Partitions these clients from the server until [`Self::end_partition`]; `open_links` is what happens to
    /// their open connections.
    pub fn partition(&self, clients: &[Ipv4Addr], open_links: OpenLinks) {
        packet_filter::drop_from(&self.listener, clients).expect("a filter can be attached");
        let clients = clients.to_vec();
        self.partition.send_replace(Partition { clients, open_links: Some(open_links) });
    }

    /// Ends a partition.
    pub fn end_partition(&self) {
        packet_filter::drop_from(&self.listener, &[]).expect("a filter can be attached");
        self.partition.send_replace(Partition::default());
    }

    /// Number of connections accepted so far from a client.
    pub fn connections_from(&self, client: Ipv4Addr) -> usize {
        let clients = self.clients.lock().expect("no holder panics");
        clients.iter().filter(|seen| **seen == IpAddr::V4(client)).count()
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
    let Ok(client_socket) = SockRef::from(&client).try_clone() else {
        return;
    };
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let mut resets = watch.clone();
    // The link ends when either direction ends: the other half is dropped.
    tokio::select! {
        () = follow_partition(&client_socket, watch.clone()) => {}
        () = resets.until_reset_by_partition() => {
            // The socket is closed with a reset; an error shows that it is closed already.
            let _ = client_socket.set_linger(Some(Duration::ZERO));
        }
        () = forward(from_client, to_server, Direction::ToServer, watch.clone()) => {}
        () = forward(from_server, to_client, Direction::ToClient, watch.clone()) => {}
        () = wait_for_reset(watch) => {}
    }
}

/// Drops the packets of a client that is partitioned while its open links hang, so that its kernel sees no
/// acknowledgements. Never returns.
async fn follow_partition(client: &Socket, mut watch: LinkFaults) {
    loop {
        let open_links = watch.partition.borrow_and_update().open_links_of(watch.client);
        let filtered = match open_links {
            Some(OpenLinks::Hang) => packet_filter::drop_all(client),
            Some(OpenLinks::Reset | OpenLinks::LiveOn) | None => packet_filter::accept_all(client),
        };
        if let Err(err) = filtered {
            eprintln!("stand-in: a connection could not be partitioned: {err}");
        }
        if watch.partition.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
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
        watch.wait_while_partitioned().await;
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
