//! A TCP proxy on loopback whose links can be delayed, reset, cut one way or silenced.

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

/// A proxy before one server.
pub struct FaultyProxy {
    /// Where clients connect.
    pub address: SocketAddr,
    fault: watch::Sender<LinkFault>,
    _accepting: AbortOnDropHandle<()>,
}

impl FaultyProxy {
    /// A proxy on a free port of `ip` before `server`.
    pub async fn start(ip: &str, server: SocketAddr) -> FaultyProxy {
        let listener = TcpListener::bind(format!("{ip}:0")).await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        let fault = watch::Sender::new(LinkFault::None);
        let faults = fault.subscribe();
        let accepting = tokio::spawn(async move {
            let mut links = JoinSet::new();
            while let Ok((client, _)) = listener.accept().await {
                links.spawn(link(client, server, faults.clone()));
            }
        });
        FaultyProxy { address, fault, _accepting: AbortOnDropHandle::new(accepting) }
    }

    /// Sets the fault of all links, open ones included.
    pub fn set(&self, fault: LinkFault) {
        self.fault.send_replace(fault);
    }
}

async fn link(client: TcpStream, server: SocketAddr, faults: watch::Receiver<LinkFault>) {
    let Ok(server) = TcpStream::connect(server).await else {
        return;
    };
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    // Either way's end ends the link: the other half is dropped.
    tokio::select! {
        () = pump(from_client, to_server, Way::ToServer, faults.clone()) => {}
        () = pump(from_server, to_client, Way::ToClient, faults.clone()) => {}
        () = reset(faults) => {}
    }
}

async fn reset(mut faults: watch::Receiver<LinkFault>) {
    // The sender lives as long as the proxy.
    let _ = faults.wait_for(|fault| *fault == LinkFault::Reset).await;
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    way: Way,
    mut faults: watch::Receiver<LinkFault>,
) {
    let mut buf = vec![0; BUF];
    while let Ok(read) = from.read(&mut buf).await {
        if read == 0 {
            return;
        }
        let holds = |fault: &LinkFault| match fault {
            LinkFault::Silent => true,
            LinkFault::OneWay => way == Way::ToClient,
            _ => false,
        };
        let _ = faults.wait_for(|fault| !holds(fault)).await;
        let fault = *faults.borrow();
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
