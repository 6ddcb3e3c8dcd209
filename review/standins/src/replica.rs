//! A stand-in for a replica of a plain service, as PROTOCOL.md ("Replicas") has it.

use std::io;
use std::net::IpAddr;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::cut;
use crate::http;
use crate::http::Message;
use crate::http::Reader;

/// A request that the replica ran.
#[derive(Clone)]
pub struct Run {
    /// When it arrived.
    pub at: Instant,
    pub request: String,
    /// The address that the connection came from.
    pub from: IpAddr,
    /// Whether the replica answered it: not if the replica ended before.
    pub answered: bool,
}

/// A replica.
pub struct Replica {
    pub id: String,
    pub service: String,
    pub hall: String,
    pub address: SocketAddr,
    work: Duration,
    draining: AtomicBool,
    ended: AtomicBool,
    listener: TcpListener,
    connections: Mutex<Vec<(IpAddr, TcpStream)>>,
    runs: Mutex<Vec<Run>>,
}

impl Replica {
    /// Starts a replica that works for `work` on each request.
    pub fn start(
        id: &str,
        service: &str,
        hall: &str,
        address: SocketAddr,
        work: Duration,
    ) -> io::Result<Arc<Replica>> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let replica = Arc::new(Replica {
            id: id.to_owned(),
            service: service.to_owned(),
            hall: hall.to_owned(),
            address,
            work,
            draining: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            listener,
            connections: Mutex::default(),
            runs: Mutex::default(),
        });
        let serving = replica.clone();
        thread::spawn(move || serving.accept());
        Ok(replica)
    }

    /// The entry that the replica writes to the store.
    pub fn entry(&self, state: &str) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":24,\"state\":\"{state}\",\"coldRemainingMs\":0,\"sequence\":1}}",
            self.service, self.address, self.hall
        )
    }

    /// Says `draining` in answers to health checks from now on.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Ends the replica: its port and its connections are closed.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        for (_, connection) in self.connections.lock().unwrap().iter() {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// Cuts the path from a host to this replica: its packets are dropped, new connections included.
    pub fn cut_from(&self, host: IpAddr) -> io::Result<()> {
        cut::drop_from(self.listener.as_raw_fd(), host)?;
        for (from, connection) in self.connections.lock().unwrap().iter() {
            if *from == host {
                cut::drop_all(connection.as_raw_fd())?;
            }
        }
        Ok(())
    }

    /// The requests that it has run so far.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    fn accept(self: Arc<Replica>) {
        while !self.ended.load(Ordering::SeqCst) {
            match self.listener.accept() {
                Ok((stream, from)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    if let Ok(kept) = stream.try_clone() {
                        self.connections.lock().unwrap().push((from.ip(), kept));
                    }
                    let replica = self.clone();
                    thread::spawn(move || replica.serve(stream, from.ip()));
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
        // A port that is listening would still take connections: nothing is accepted from it any more.
        cut::stop_listening(self.listener.as_raw_fd());
    }

    fn serve(&self, stream: TcpStream, from: IpAddr) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = Reader::new(stream);
        while let Ok(Some(req)) = reader.next() {
            let (status, headers, body) = self.answer(&req, from);
            if self.ended.load(Ordering::SeqCst) {
                return;
            }
            if http::write(&mut writer, &format!("HTTP/1.1 {status}"), &headers, body.as_bytes()).is_err() {
                return;
            }
            if self.draining.load(Ordering::SeqCst) {
                return;
            }
        }
    }

    fn answer(&self, req: &Message, from: IpAddr) -> (&'static str, Vec<(&'static str, String)>, String) {
        let is_draining = self.draining.load(Ordering::SeqCst);
        let mut headers = Vec::new();
        if is_draining {
            headers.push(("Connection", "close".to_owned()));
        }
        if req.path() == "/healthz" {
            headers.push(("Leadstage-Instance-Id", self.id.clone()));
            return (if is_draining { "503 Service Unavailable" } else { "200 OK" }, headers, String::new());
        }
        let Some(id) = req.header("leadstage-request-id").map(str::to_owned) else {
            headers.push(("Leadstage-Not-Executed", "1".to_owned()));
            return ("400 Bad Request", headers, String::new());
        };
        headers.push(("Leadstage-Request-Id", id.clone()));
        if req.header("leadstage-target-instance").is_some_and(|target| target != self.id) {
            headers.push(("Leadstage-Not-Executed", "1".to_owned()));
            headers.push(("Leadstage-Instance-Id", self.id.clone()));
            return ("421 Misdirected Request", headers, String::new());
        }
        let run = Run { at: Instant::now(), request: id.clone(), from, answered: false };
        let number = {
            let mut runs = self.runs.lock().unwrap();
            runs.push(run);
            runs.len() - 1
        };
        thread::sleep(self.work);
        if !self.ended.load(Ordering::SeqCst) {
            self.runs.lock().unwrap()[number].answered = true;
        }
        headers.push(("Leadstage-Server-Signature", format!("{}.{number}", self.id)));
        headers.push(("Content-Type", "text/plain".to_owned()));
        ("200 OK", headers, format!("{id} was run by {}", self.id))
    }
}
