//! Replicas: a thread for each connection, which records each request that arrives and answers it.

use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Instant;

use crate::http;
use crate::http::Message;
use crate::store::Store;

/// A request that arrived at a replica.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When its head was read.
    pub at: Instant,
    /// The address that the connection came from.
    pub from: SocketAddr,
    /// The request.
    pub request: Message,
}

/// Answers a request on its connection; returns whether the connection can be used again.
pub type Behaviour = dyn Fn(&Replica, &Message, &mut TcpStream) -> io::Result<bool> + Send + Sync;

/// A replica.
pub struct Replica {
    /// Its id.
    pub id: String,
    /// Its address.
    pub address: SocketAddr,
    /// The requests that arrived, without health checks.
    pub arrivals: Mutex<Vec<Arrival>>,
    /// Whether it is leaving.
    pub is_leaving: AtomicBool,
}

impl Replica {
    /// Starts a replica. Health checks are answered with 200 and its id.
    pub fn start(id: &str, ip: &str, behaviour: Arc<Behaviour>) -> Arc<Replica> {
        let listener = TcpListener::bind((ip, 0)).expect("a port for a replica");
        let address = listener.local_addr().expect("bound");
        let replica = Arc::new(Replica {
            id: id.to_owned(),
            address,
            arrivals: Mutex::default(),
            is_leaving: AtomicBool::new(false),
        });
        let serving = replica.clone();
        http::serve(listener, move |stream| {
            let _ = serving.serve(stream, &*behaviour);
        });
        replica
    }

    fn serve(&self, stream: TcpStream, behaviour: &Behaviour) -> io::Result<()> {
        let from = stream.peer_addr()?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut stream = stream;
        while let Some(request) = http::read(&mut reader)? {
            if request.target().1 == "/healthz" {
                let id = format!("Leadstage-Instance-Id: {}\r\n", self.id);
                let is_well = !self.is_leaving.load(Ordering::Relaxed);
                let status = if is_well { "200 OK" } else { "503 Service Unavailable" };
                http::answer(&mut stream, status, &id, "")?;
                continue;
            }
            let at = Instant::now();
            self.arrivals.lock().expect("sound").push(Arrival { at, from, request: request.clone() });
            if request.header("leadstage-target-instance").is_some_and(|target| target != self.id) {
                let id = format!("Leadstage-Instance-Id: {}\r\n", self.id);
                http::answer(&mut stream, "421 Misdirected Request", &id, "")?;
                continue;
            }
            if !behaviour(self, &request, &mut stream)? {
                return Ok(());
            }
        }
        Ok(())
    }

    /// The headers of an answer of its own.
    pub fn signed(&self, request: &Message) -> String {
        let id = request.header("leadstage-request-id").unwrap_or("");
        format!("Leadstage-Request-Id: {id}\r\nLeadstage-Server-Signature: sig-{}-{id}\r\n", self.id)
    }

    /// Writes its entry to the store.
    pub fn list(&self, store: &Store, service: &str, zone: &str, cold_ms: u64) {
        let spec = format!(
            r#"{{"service":"{service}","address":"{}","zone":"{zone}","version":"1","slots":24,"state":"ready","coldRemainingMs":{cold_ms},"sequence":1}}"#,
            self.address
        );
        store.put("servers", &self.id, &spec);
    }
}

/// A stream of `events` events, in chunks.
pub fn stream_events(
    replica: &Replica,
    request: &Message,
    stream: &mut TcpStream,
    events: u32,
) -> io::Result<bool> {
    let signed = replica.signed(request);
    let head = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
    write!(stream, "HTTP/1.1 200 OK\r\n{signed}{head}\r\n")?;
    for event in 1..=events {
        let text = format!("id: {event}\ndata: token\n\n");
        write!(stream, "{:x}\r\n{text}\r\n", text.len())?;
    }
    write!(stream, "0\r\n\r\n")?;
    Ok(true)
}
