//! A TCP proxy on loopback whose links can be delayed, reset, cut one way or silenced, all of them
//! or just those that are open at a moment.
//!
//! The kernel goes on acknowledging what a silenced link takes in, as a box between two networks
//! may: neither `TCP_USER_TIMEOUT` nor keep-alive probes notice such a silence.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio_util::task::AbortOnDropHandle;

/// Bytes passed on at once.
const BUF_BYTES: usize = 4 << 10;

/// What happens to the bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// They pass.
    None,
    /// They pass later.
    Delay(Duration),
    /// What the server sends on a connection passes at so many bytes a second, as over a small link.
    Throttle(u32),
    /// Connections are reset.
    Reset,
    /// What the server sends is held up.
    OneWay,
    /// All is held up.
    Silent,
}

/// Which way bytes go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    ToServer,
    ToClient,
}

/// How often open links were silenced for good so far.
type SilenceCount = u32;

/// What a link looks at while it passes bytes on.
#[derive(Clone)]
struct LinkFaults {
    faults: watch::Receiver<LinkFault>,
    silences: watch::Receiver<SilenceCount>,
    /// Silences before it was open.
    opened_after: SilenceCount,
}

impl LinkFaults {
    /// Never returns for a link that was silenced for good.
    async fn block_if_silenced(&self) {
        if *self.silences.borrow() != self.opened_after {
            std::future::pending::<()>().await;
        }
    }
}

/// A proxy before one server.
pub struct FaultyProxy {
    /// Where clients connect.
    pub address: SocketAddr,
    fault: watch::Sender<LinkFault>,
    silences: watch::Sender<SilenceCount>,
    _accept_task: AbortOnDropHandle<()>,
}

impl FaultyProxy {
    /// A proxy on a free port of `ip` before `server`.
    pub async fn start(ip: &str, server: SocketAddr) -> FaultyProxy {
        let listener = TcpListener::bind(format!("{ip}:0")).await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        let fault = watch::Sender::new(LinkFault::None);
        let faults = fault.subscribe();
        let silences = watch::Sender::new(0);
        let silenced = silences.subscribe();
        let accept_task = tokio::spawn(async move {
            let mut links = JoinSet::new();
            while let Ok((client, _)) = listener.accept().await {
                let opened_after = *silenced.borrow();
                let watch = LinkFaults { faults: faults.clone(), silences: silenced.clone(), opened_after };
                links.spawn(run_link(client, server, watch));
            }
        });
        FaultyProxy { address, fault, silences, _accept_task: AbortOnDropHandle::new(accept_task) }
    }

    /// Sets the fault of all links, open ones included.
    pub fn set(&self, fault: LinkFault) {
        self.fault.send_replace(fault);
    }

    /// Links that are open now pass nothing on any more, the end of either side included. Links
    /// that open later work.
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
    // Either way's end ends the link: the other half is dropped.
    tokio::select! {
        () = forward(from_client, to_server, Direction::ToServer, watch.clone()) => {}
        () = forward(from_server, to_client, Direction::ToClient, watch.clone()) => {}
        () = wait_for_reset(watch) => {}
    }
}

async fn wait_for_reset(mut watch: LinkFaults) {
    // The sender lives as long as the proxy.
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
