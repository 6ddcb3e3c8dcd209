//! A stand-in for a process whose answers are given byte by byte, whether they are HTTP or not.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio_util::task::AbortOnDropHandle;

use crate::loopback;

/// Maximum size of a request's head.
const MAX_REQUEST_BYTES: usize = 64 << 10;
/// Answer of a healthy replica to a health check.
pub const HEALTHY: &str = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

/// A running server; dropping it closes its port. It answers one request of each connection and closes it.
pub struct ScriptedServer {
    /// Address that the server listens on.
    pub address: SocketAddr,
    answer: Arc<Mutex<String>>,
    _accept_task: AbortOnDropHandle<()>,
}

impl ScriptedServer {
    /// Starts a server at `address`. Health checks are answered with `health`, or as all other requests.
    pub fn start(address: SocketAddr, health: Option<&'static str>) -> Self {
        let listener = loopback::listen(address).expect("the address is free");
        let address = listener.local_addr().expect("the listener is bound");
        let answer: Arc<Mutex<String>> = Arc::default();
        let shared = answer.clone();
        let accept_task = tokio::spawn(async move {
            loop {
                let stream = loopback::accept(&listener).await;
                tokio::spawn(serve(stream, health, shared.clone()));
            }
        });
        ScriptedServer { address, answer, _accept_task: AbortOnDropHandle::new(accept_task) }
    }

    /// Sets the bytes of the answers from now on. `{id}` stands for the id of the request.
    pub fn set_answer(&self, answer: &str) {
        answer.clone_into(&mut self.answer.lock().expect("no holder panics"));
    }
}

async fn serve(mut stream: TcpStream, health: Option<&str>, answer: Arc<Mutex<String>>) {
    let mut buf = Vec::new();
    while !buf.ends_with(b"\r\n\r\n") && buf.len() < MAX_REQUEST_BYTES {
        let Ok(byte) = stream.read_u8().await else {
            return;
        };
        buf.push(byte);
    }
    let head = String::from_utf8_lossy(&buf).into_owned();
    let id = head.lines().find_map(|line| line.strip_prefix("leadstage-request-id: ")).unwrap_or_default();
    let answer = match health.filter(|_| head.starts_with("GET /healthz")) {
        Some(health) => health.to_owned(),
        None => answer.lock().expect("no holder panics").replace("{id}", id),
    };
    // The client may close the connection before it has read all of it.
    let _ = stream.write_all(answer.as_bytes()).await;
    let _ = stream.shutdown().await;
    let _ = stream.read_to_end(&mut buf).await;
}
