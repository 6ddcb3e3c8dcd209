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
const BUF: usize = 4 << 10;

/// What happens to the bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// They pass.
    None,
    /// They pass later.
    Delay(Duration),
    /// What the server sends on a connection passes at so many bytes a second, as over a small link.
    Thin(u32),
    /// Connections are reset.
    Reset,
    /// What the server sends is held up.
    OneWay,
    /// All is held up.
    Silent,
}

/// Which way bytes go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    ToServer,
    ToClient,
}

/// How often open links were silenced for good so far.
type Silences = u32;

/// What a link looks at while it passes bytes on.
#[derive(Clone)]
struct LinkWatch {
    faults: watch::Receiver<LinkFault>,
    silences: watch::Receiver<Silences>,
    /// Silences before it was open.
    opened_after: Silences,
}

impl LinkWatch {
    /// Never returns for a link that was silenced for good.
    async fn pass_unless_silenced(&self) {
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
    silences: watch::Sender<Silences>,
    _accepting: AbortOnDropHandle<()>,
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
        let accepting = tokio::spawn(async move {
            let mut links = JoinSet::new();
            while let Ok((client, _)) = listener.accept().await {
                let opened_after = *silenced.borrow();
                let watch = LinkWatch { faults: faults.clone(), silences: silenced.clone(), opened_after };
                links.spawn(link(client, server, watch));
            }
        });
        FaultyProxy { address, fault, silences, _accepting: AbortOnDropHandle::new(accepting) }
    }

    /// Sets the fault of all links, open ones included.
    pub fn set(&self, fault: LinkFault) {
        self.fault.send_replace(fault);
    }

    /// Links that are open now pass nothing on any more, the end of either side included. Links
    /// that open later work.
    pub fn silence_open(&self) {
        self.silences.send_modify(|silences| *silences += 1);
    }
}

async fn link(client: TcpStream, server: SocketAddr, watch: LinkWatch) {
    let Ok(server) = TcpStream::connect(server).await else {
        return;
    };
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    // Either way's end ends the link: the other half is dropped.
    tokio::select! {
        () = pump(from_client, to_server, Way::ToServer, watch.clone()) => {}
        () = pump(from_server, to_client, Way::ToClient, watch.clone()) => {}
        () = reset(watch) => {}
    }
}

async fn reset(mut watch: LinkWatch) {
    // The sender lives as long as the proxy.
    let _ = watch.faults.wait_for(|fault| *fault == LinkFault::Reset).await;
    watch.pass_unless_silenced().await;
}

async fn pump(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, way: Way, mut watch: LinkWatch) {
    let mut buf = vec![0; BUF];
    loop {
        let read = from.read(&mut buf).await.unwrap_or(0);
        watch.pass_unless_silenced().await;
        if read == 0 {
            return;
        }
        let holds = |fault: &LinkFault| match fault {
            LinkFault::Silent => true,
            LinkFault::OneWay => way == Way::ToClient,
            _ => false,
        };
        let _ = watch.faults.wait_for(|fault| !holds(fault)).await;
        let fault = *watch.faults.borrow();
        let holds_for = match fault {
            LinkFault::Delay(delay) => delay,
            LinkFault::Thin(rate) if way == Way::ToClient => {
                Duration::from_secs_f64(read as f64 / f64::from(rate))
            }
            _ => Duration::ZERO,
        };
        if !holds_for.is_zero() {
            tokio::time::sleep(holds_for).await;
        }
        if to.write_all(&buf[..read]).await.is_err() {
            return;
        }
    }
}
