//! Large VM lists over slow links.

use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use ed25519_dalek::SigningKey;
use http::Request;
use http::Response;
use leadstage_lib::signing::encode_key;
use leadstage_testutils::faulty_proxy::FaultyProxy;
use leadstage_testutils::faulty_proxy::LinkFault;
use leadstage_testutils::loopback;
use leadstage_testutils::loopback::Body;
use leadstage_testutils::loopback::RequestHandler;
use serde_json::json;

use crate::gateway_environment::Gateway;

const VM_COUNT: usize = 3_000;

/// A platform with many VMs and no bundle. A client that has read the whole list sends its version in
/// `If-None-Match` from then on.
struct PlatformWithManyVms {
    list: String,
    list_requests: AtomicU64,
    list_was_read: AtomicBool,
}

impl RequestHandler for PlatformWithManyVms {
    async fn handle(self: Arc<Self>, req: Request<Bytes>) -> Response<Body> {
        if req.uri().path() != "/v1/vms" {
            return Response::builder().status(404).body(loopback::full_body("")).expect("valid");
        }
        self.list_requests.fetch_add(1, Ordering::Relaxed);
        if req.headers().contains_key("if-none-match") {
            self.list_was_read.store(true, Ordering::Relaxed);
            return Response::builder().status(304).body(loopback::full_body("")).expect("valid");
        }
        Response::builder().header("etag", "1").body(loopback::full_body(self.list.clone())).expect("valid")
    }
}

/// 3,000 VMs are 0.3 MB, which takes two seconds here: longer than a call to the platform may take.
#[tokio::test]
async fn test_a_large_vm_list_is_read_over_a_slow_link() {
    let net = Gateway::start().await;
    let (ip, platform_ip) = (net.replicas_ip(), net.own_store_ip());
    let vms = (0..VM_COUNT).map(|n| {
        json!({"id": format!("engine-{n}"), "role": "engine", "hall": "h",
            "address": format!("10.0.{}.{}:9100", n / 250, n % 250 + 1), "serves": "m", "state": "live"})
    });
    let list = serde_json::to_string(&vms.collect::<Vec<_>>()).expect("JSON");
    let rate = list.len() as u32 / 2;
    let platform = Arc::new(PlatformWithManyVms {
        list,
        list_requests: AtomicU64::new(0),
        list_was_read: AtomicBool::new(false),
    });
    let server = loopback::serve(&platform_ip, platform.clone()).await;
    let proxy = FaultyProxy::start(&platform_ip, server.address).await;
    proxy.set(LinkFault::Throttle(rate));
    let dir = tempfile::TempDir::new().expect("a temporary directory");
    let path = dir.path().join("node.yaml");
    let key = encode_key(&SigningKey::from_bytes(&[5; 32]).verifying_key());
    let settings = format!(
        "vm: entry-1\nhall: h\nlisten: {ip}:8080\nadmin: {ip}:8081\npeer: {ip}:8082\nplatform: {}\noperators: ['{key}']\n",
        proxy.address
    );
    std::fs::write(&path, settings).expect("writable");
    let mut command = Command::new(env!("CARGO_BIN_EXE_leadstaged"));
    command.arg("--config").arg(&path).stdout(Stdio::null()).stderr(Stdio::null()).stdin(Stdio::null());
    let mut node = command.spawn().expect("leadstaged starts");
    for _ in 0..100 {
        if platform.list_was_read.load(Ordering::Relaxed) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
    let _ = node.kill();
    let _ = node.wait();
    let list_requests = platform.list_requests.load(Ordering::Relaxed);
    assert!(
        platform.list_was_read.load(Ordering::Relaxed),
        "the list was requested {list_requests} times in 15 s and never read completely"
    );
}
