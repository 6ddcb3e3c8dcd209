//! Requests whose deadline passes while their node is suspended, before they are sent.

use std::time::Duration;

use leadstage_testutils::metadata_store::replica_entry;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

use crate::gateway_environment::Gateway;
use crate::gateway_environment::book;

/// Deadline of the requests.
const DEADLINE: Duration = Duration::from_millis(1_000);
/// Time in which a replica that can be reached responds.
const RESPONSE_TIME: Duration = Duration::from_millis(60);
/// Calls until one of them was placed at the replica that can't be reached.
const MAX_CALLS: usize = 20;
/// Connections that fill the queue of a listener that accepts none.
const QUEUED: usize = 4;

/// A listener that neither accepts nor refuses further connections.
async fn full_listener(ip: &str) -> (TcpListener, Vec<tokio::task::JoinHandle<std::io::Result<TcpStream>>>) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind(format!("{ip}:0").parse().expect("an address")).expect("a free port");
    let listener = socket.listen(1).expect("it listens");
    let address = listener.local_addr().expect("bound");
    let queued = (0..QUEUED).map(|_| tokio::spawn(TcpStream::connect(address))).collect();
    tokio::time::sleep(RESPONSE_TIME).await;
    (listener, queued)
}

/// Time between two calls.
const CALL_INTERVAL: Duration = Duration::from_millis(50);

/// Guards against a call that is sent, and may run, after its caller has left: the node goes on long after the
/// deadline, finds that it could not reach the first replica, and chooses the next one.
#[tokio::test]
async fn test_a_request_is_not_sent_after_its_deadline() {
    let (gateway, bookings, _models) = Gateway::with_replicas(1).await;
    let (listener, _queued) = full_listener(&gateway.replicas_ip()).await;
    let address = listener.local_addr().expect("bound");
    gateway.store.put("servers", "booking-x", replica_entry("booking", address, "hall-1", "ready"));
    gateway.until("it is listed", async || gateway.log(0).contains("upstream=booking-x")).await;
    for n in 0..MAX_CALLS {
        let id = format!("b-{n}");
        let mut req = book(&id);
        let deadline_ms = DEADLINE.as_millis().to_string().parse().expect("valid");
        req.headers_mut().insert("leadstage-deadline-ms", deadline_ms);
        let mut calling = std::pin::pin!(gateway.call(0, req));
        if tokio::time::timeout(RESPONSE_TIME, &mut calling).await.is_ok() {
            // A replica that has just been listed gets few calls at first.
            tokio::time::sleep(CALL_INTERVAL).await;
            continue;
        }
        gateway.signal(0, "-STOP");
        tokio::time::sleep(DEADLINE).await;
        gateway.signal(0, "-CONT");
        let called = calling.await;
        let seen = bookings[0].replica.received_requests();
        let is_sent = seen.iter().any(|seen| seen.header("leadstage-request-id") == Some(&id));
        assert!(!is_sent, "{called:?}\n{}", gateway.logs());
        assert_eq!(called.status, 504, "{called:?}");
        return;
    }
    panic!("no call was placed at the other replica\n{}", gateway.logs());
}
