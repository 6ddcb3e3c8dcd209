//! Binds ports that may be unavailable for a while: an earlier process may still hold them, or the interface
//! with their address may not be up yet.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use leadstage_lib::bind_retry::BindRetry;
use log::info;
use log::warn;
use tokio::net::TcpListener;

use crate::bind_error;
use crate::clock;
use crate::listener;

/// A port of the settings.
#[derive(Clone, Copy, Debug)]
pub struct Port {
    /// Its name in logs.
    pub name: &'static str,
    /// Its address.
    pub address: SocketAddr,
}

impl Port {
    /// Binds the port and listens for connections, as soon as it is available. Fails with an error that
    /// remains.
    pub async fn listen(self) -> io::Result<TcpListener> {
        self.bind(|| listener::bind(self.address)).await
    }

    /// Calls `bind` until it succeeds. Blocks the thread. Fails with an error that remains.
    pub fn bind_blocking<T>(self, mut bind: impl FnMut() -> io::Result<T>) -> io::Result<T> {
        let mut attempts = Attempts::new(self);
        loop {
            match bind() {
                Ok(bound) => return Ok(attempts.on_bound(bound)),
                Err(err) => std::thread::sleep(attempts.on_failure(err)?),
            }
        }
    }

    /// Calls `bind` until it succeeds. Fails with an error that remains.
    pub async fn bind<T>(self, mut bind: impl FnMut() -> io::Result<T>) -> io::Result<T> {
        let mut attempts = Attempts::new(self);
        loop {
            match bind() {
                Ok(bound) => return Ok(attempts.on_bound(bound)),
                Err(err) => tokio::time::sleep(attempts.on_failure(err)?).await,
            }
        }
    }
}

/// The attempts to bind a port, which are logged.
struct Attempts {
    port: Port,
    retry: BindRetry,
}

impl Attempts {
    fn new(port: Port) -> Self {
        Attempts { port, retry: BindRetry::default() }
    }

    /// Returns the delay before the next attempt, or the error if it remains.
    fn on_failure(&mut self, err: io::Error) -> io::Result<Duration> {
        if !bind_error::can_pass(&err) {
            return Err(err);
        }
        let next = self.retry.on_failure(clock::since_boot(), &mut rand::rng());
        if next.is_logged {
            warn!(event = "port_unavailable", port = self.port.name, address:% = self.port.address, reason:% = err, waited_ms = next.waited.as_millis() as u64; "port is not available; trying again");
        }
        Ok(next.delay)
    }

    fn on_bound<T>(&self, bound: T) -> T {
        if let Some(waited) = self.retry.on_bound(clock::since_boot()) {
            info!(event = "port_bound", port = self.port.name, address:% = self.port.address, waited_ms = waited.as_millis() as u64; "port is available");
        }
        bound
    }
}
