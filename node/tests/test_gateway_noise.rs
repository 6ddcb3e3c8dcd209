//! Malformed input at each port of a node: the node keeps running, with bounded memory.
//!
//! A datagram is either all random bytes, or a valid header followed by random bytes. Most of the latter can
//! be decoded, into numbers, times and lengths that no node would send.

use std::net::SocketAddr;
use std::time::Duration;

use leadstage_lib::gateway::closed_halls::ClosedHalls;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;

use crate::gateway_environment::Gateway;

/// Seeds run by default; `LEADSTAGE_NOISE_SEEDS=50` runs more.
const DEFAULT_SEEDS: u64 = 2;
const DATAGRAM_COUNT: usize = 5_000;
const CONNECTION_COUNT: usize = 50;
/// More than the number of message kinds, so that unknown kinds are sent too.
const MESSAGE_KINDS: u8 = 24;
/// Allowed memory growth of a node: a few times its initial memory.
const MAX_GROWTH_KB: u64 = 64 << 10;
/// Datagrams sent without a pause; the receive buffer holds some hundred.
const DATAGRAM_BURST: usize = 20;

/// Generates bytes of which many are small numbers, as in valid messages.
fn random_bytes(rng: &mut StdRng, max_len: usize) -> Vec<u8> {
    let len = rng.random_range(0..max_len);
    (0..len).map(|_| if rng.random_bool(0.5) { rng.random_range(0..4) } else { rng.random() }).collect()
}

fn random_datagram(from: SocketAddr, rng: &mut StdRng) -> Vec<u8> {
    if rng.random_bool(0.1) {
        return random_bytes(rng, 2_000);
    }
    let head = (from, 1_u64, 0_u64, ClosedHalls::default(), 0_u64, 0_u64);
    let mut bytes = postcard::to_stdvec(&head).expect("the header can be encoded");
    bytes.push(rng.random_range(0..MESSAGE_KINDS));
    // A varint whose bytes all have the continuation bit encodes the largest number.
    if rng.random_bool(0.2) {
        bytes.extend([0xff; 9]);
        bytes.push(1);
    }
    bytes.extend(random_bytes(rng, 120));
    bytes
}

async fn send_datagrams(to: SocketAddr, from: SocketAddr, rng: &mut StdRng) {
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
    for n in 0..DATAGRAM_COUNT {
        // A closed socket refuses the datagram; the checks at the end detect that.
        let _ = socket.send_to(&random_datagram(from, rng), to).await;
        if n % DATAGRAM_BURST == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }
}

/// Sends requests whose head is cut at a random byte and followed by random bytes.
async fn send_malformed_requests(to: &str, rng: &mut StdRng) {
    for _ in 0..CONNECTION_COUNT {
        let Ok(mut stream) = TcpStream::connect(to).await else { continue };
        let mut bytes = b"POST /v1/chat HTTP/1.1\r\nhost: a.example\r\ncontent-length: 40\r\n\r\n{}".to_vec();
        let at = rng.random_range(0..bytes.len());
        bytes.truncate(at);
        bytes.extend(random_bytes(rng, 4_000));
        // The node may respond and close before all is written.
        let _ = stream.write_all(&bytes).await;
        let _ = stream.shutdown().await;
        let mut answer = Vec::new();
        let _ = tokio::time::timeout(Duration::from_millis(50), stream.read_to_end(&mut answer)).await;
    }
}

/// Returns the resident memory of a node's process, in kilobytes.
fn resident_memory_kb(gateway: &Gateway, node: usize) -> u64 {
    gateway.memory_bytes(node, "VmRSS") as u64 / 1_024
}

async fn check_seed(seed: u64) {
    let (mut gateway, _bookings, _models) = Gateway::with_replicas(2).await;
    let other = gateway.start_node();
    gateway.until_ready(other).await;
    let before = resident_memory_kb(&gateway, 0);
    let mut rng = StdRng::seed_from_u64(seed);
    let [to, from] = [0, other].map(|node| gateway.peer(node).parse().expect("an address"));
    send_datagrams(to, from, &mut rng).await;
    for port in [gateway.client_address(0), gateway.peer(0), gateway.ready(0), gateway.metrics(0)] {
        send_malformed_requests(&port, &mut rng).await;
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    for node in [0, other] {
        assert_eq!(gateway.ended(node), None, "seed {seed}\n{}", gateway.logs());
        assert!(!gateway.log(node).contains("panicked"), "seed {seed}\n{}", gateway.log(node));
    }
    let growth = resident_memory_kb(&gateway, 0).saturating_sub(before);
    assert!(growth < MAX_GROWTH_KB, "seed {seed}: memory grew by {growth} kB\n{}", gateway.logs());
    assert_eq!(gateway.ready_status(0).await, 200, "seed {seed}\n{}", gateway.logs());
}

#[tokio::test]
async fn test_nodes_survive_malformed_input() {
    let seeds = std::env::var("LEADSTAGE_NOISE_SEEDS").ok();
    let seeds = seeds.map_or(DEFAULT_SEEDS, |text| text.parse().expect("LEADSTAGE_NOISE_SEEDS is a number"));
    for seed in 0..seeds {
        check_seed(seed).await;
    }
}
