//! A stand-in for a plain service that counts the executions of each booking.
//!
//! `POST /book` executes one booking; `GET /stand-in/ran` lists the values of `Idempotency-Key` (empty for
//! none) with the number of executions of each; `GET /free` responds immediately. `POST /fault/slow?ms=N`
//! delays responses to bookings, `/fault/drop` closes the connection after the next booking has been
//! executed.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::json;
use xitca_web::http::WebResponse;

use crate::http_server::Handler;
use crate::http_server::Request;
use crate::http_server::respond;
use crate::http_server::respond_json;
use crate::http_server::respond_stream;

/// The plain service's stand-in; clones share their state.
#[derive(Clone, Default)]
pub struct PlainServer {
    executions: Arc<Mutex<BTreeMap<String, u64>>>,
    delay_ms: Arc<AtomicU64>,
    drop_next: Arc<AtomicBool>,
}

impl Handler for PlainServer {
    async fn handle(&self, req: Request) -> WebResponse {
        match req.path.as_str() {
            "/stand-in/ran" => respond_json(200, &*self.executions.lock().expect("no holder panics")),
            "/fault/slow" => {
                let delay = req.query_value("ms").and_then(|v| v.parse().ok()).unwrap_or(0);
                self.delay_ms.store(delay, Ordering::Relaxed);
                respond(200, "ok")
            }
            "/fault/drop" => {
                self.drop_next.store(true, Ordering::Relaxed);
                respond(200, "ok")
            }
            path if path.ends_with("/book") => self.book(&req).await,
            _ => respond_json(200, &json!({"free": 3})),
        }
    }
}

impl PlainServer {
    async fn book(&self, req: &Request) -> WebResponse {
        let key = req.header("idempotency-key").unwrap_or("").to_owned();
        *self.executions.lock().expect("no holder panics").entry(key.clone()).or_default() += 1;
        tokio::time::sleep(Duration::from_millis(self.delay_ms.load(Ordering::Relaxed))).await;
        if self.drop_next.swap(false, Ordering::Relaxed) {
            let cut = std::io::Error::other("dropped");
            return respond_stream(futures::stream::iter([Err(cut)]));
        }
        respond_json(200, &json!({"booked": key}))
    }
}
