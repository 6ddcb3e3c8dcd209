//! Streams of a route that is not resumable, whose engine is healthy throughout, while one of the connections,
//! calls and messages that concern them is late and the others are not.

use std::time::Duration;

use leadstage_testutils::faulty_proxy::FaultyProxy;
use leadstage_testutils::gateway_replica::CopyFault;
use leadstage_testutils::gateway_replica::ReplicaFault;
use leadstage_testutils::gateway_replica::StreamFault;
use leadstage_testutils::metadata_store::MetadataStore;
use leadstage_testutils::metadata_store::replica_entry;
use serde_json::json;

use crate::gateway_environment::CallResult;
use crate::gateway_environment::Gateway;
use crate::gateway_environment::MODEL;
use crate::gateway_environment::RunningReplica;
use crate::gateway_environment::chat;
use crate::gateway_environment::config;

/// Number of events of a generation, which takes 4 s.
const EVENTS: u64 = 260;
/// When the connection of a running stream is delayed.
const DELAY_AFTER: Duration = Duration::from_millis(300);
/// Longer than the silence after which an engine is queried for its progress.
const DELAY: Duration = Duration::from_millis(800);
const HALLS: [&str; 2] = ["hall-1", "hall-2"];

/// One node, and an engine behind a proxy in each of two halls.
struct Halls {
    gateway: Gateway,
    models: Vec<RunningReplica>,
    proxies: Vec<FaultyProxy>,
}

impl Halls {
    async fn start() -> Halls {
        let mut gateway = Gateway::start().await;
        gateway.store.put("config", "main", config(1));
        let (mut models, mut proxies) = (Vec::new(), Vec::new());
        for hall in HALLS {
            let model = gateway.start_replica(MODEL, &format!("model-{hall}"), EVENTS).await;
            let proxy = gateway.put_proxy_before(MODEL, &model).await;
            let entry = replica_entry(MODEL, proxy.address, hall, "ready");
            gateway.store.put("servers", &model.replica.id, entry);
            models.push(model);
            proxies.push(proxy);
        }
        gateway.start_node();
        gateway.until_ready(0).await;
        Halls { gateway, models, proxies }
    }

    /// Like [`Halls::start`], but the first hall is closed, so that there is only one open engine.
    async fn start_with_one_open() -> Halls {
        let halls = Halls::start().await;
        halls.gateway.store.put("evacuations", HALLS[0], json!({}));
        halls.until_closed_halls_are(&HALLS[..1]).await;
        halls
    }

    async fn until_closed_halls_are(&self, closed: &[&str]) {
        let are_closed = async || self.gateway.node_status(0).await.closed_halls == closed;
        self.gateway.until("the node knows which halls are closed", are_closed).await;
    }

    /// Opens the first hall, so that its engine may be the target of a stop.
    async fn open_first_hall(&self) {
        self.gateway.store.delete("evacuations", HALLS[0]);
        self.until_closed_halls_are(&[]).await;
    }

    /// Leaves idle connections to the open engine: it answers some chats with an error of its own.
    async fn leave_idle_connections(&self) {
        const CHATS: usize = 4;
        self.gateway.engines.set_stream_faults([StreamFault::Fails; CHATS]);
        let chats = (0..CHATS).map(|n| self.gateway.call(0, chat(&format!("fails-{n}"))));
        for called in futures::future::join_all(chats).await {
            assert_eq!(called.status, 500, "{}", self.gateway.logs());
        }
    }

    /// Runs a chat; calls `disturb` with its engine once it has run for [`DELAY_AFTER`].
    async fn chat_while(&self, disturb: impl AsyncFn(&RunningReplica, &FaultyProxy)) -> CallResult {
        let running = || self.models.iter().position(|model| model.replica.running() > 0);
        let disturb = async {
            self.gateway.until("a generation runs", async || running().is_some()).await;
            let at = running().expect("a generation runs");
            tokio::time::sleep(DELAY_AFTER).await;
            disturb(&self.models[at], &self.proxies[at]).await;
        };
        tokio::join!(self.gateway.call(0, chat("r-1")), disturb).0
    }

    fn assert_complete(&self, called: &CallResult, what: &str) {
        let is_complete = called.whole && called.events() == Some(EVENTS);
        assert!(is_complete, "{what}: {:?} events\n{}", called.events(), self.gateway.logs());
    }
}

/// Delays the data of a running stream for [`DELAY`]; new connections work.
async fn delay_stream(proxy: &FaultyProxy) {
    proxy.hold_open_links();
    tokio::time::sleep(DELAY).await;
    proxy.release_links();
}

/// Guards against a stop of a generation that no other engine may take over: it is doubted, its engine is
/// found ahead, and it just continues, however long it, or new connections to its engine, are delayed.
#[tokio::test]
async fn test_a_stream_of_the_only_open_engine_outlasts_delays() {
    for (stream_delay_ms, other_delay_ms) in [(800, 0), (4_500, 0), (0, 3_000)] {
        let halls = Halls::start_with_one_open().await;
        let called = halls
            .chat_while(async |_, proxy| {
                proxy.hold_open_links();
                tokio::time::sleep(Duration::from_millis(stream_delay_ms)).await;
                proxy.hold_new_links();
                tokio::time::sleep(Duration::from_millis(other_delay_ms)).await;
                proxy.release_links();
            })
            .await;
        halls.assert_complete(&called, &format!("{stream_delay_ms} ms, {other_delay_ms} ms"));
        let copies: usize = halls.models.iter().map(|model| model.replica.copy_calls()).sum();
        assert_eq!(copies, 0, "{}", halls.gateway.logs());
    }
}

/// Runs a chat whose connection is delayed, and whose engine treats the call that stops it as `fault` says.
async fn assert_complete_although_stop(fault: CopyFault) {
    let halls = Halls::start().await;
    let called = halls
        .chat_while(async |model, proxy| {
            model.replica.set_copy_fault(fault);
            delay_stream(proxy).await;
        })
        .await;
    halls.assert_complete(&called, &format!("{fault:?}"));
}

/// Guards against a delayed stream that is stopped and lost because the answer to its stop is late by more than
/// its resumption is retried, 1.8 s, although its engine keeps it: "engine_abandoned: not resumed in time".
#[tokio::test]
async fn test_a_stopped_stream_waits_for_a_late_answer_to_its_stop() {
    assert_complete_although_stop(CopyFault::StopLate(Duration::from_millis(2_000))).await;
}

/// Guards against a delayed stream that is stopped and lost because the answer to its stop is lost, although
/// nothing had to be stopped: "engine_abandoned: not resumed in time".
#[tokio::test]
async fn test_a_stopped_stream_survives_a_lost_answer_to_its_stop() {
    assert_complete_although_stop(CopyFault::StopHangs).await;
}

/// Guards against a stop that reaches its engine after the node has given up waiting for the answer, by when
/// the delayed stream flows again: the node forgets that it asked, and the stream breaks.
#[tokio::test]
async fn test_a_stream_survives_a_stop_that_arrives_late() {
    assert_complete_although_stop(CopyFault::StopArrivesLate(Duration::from_millis(2_600))).await;
}

/// Guards against forgetting a stop that was not answered once a repeated one was: the generation is resumed, and
/// the first call stops it again when it arrives.
#[tokio::test]
async fn test_a_resumed_stream_survives_the_first_call_to_stop_it() {
    let halls = Halls::start().await;
    let called = halls
        .chat_while(async |model, proxy| {
            model.replica.set_copy_fault(CopyFault::StopArrivesLate(Duration::from_millis(2_600)));
            proxy.silence_open_links();
            // Between the first call and its repetition, after four and eight gap objectives.
            tokio::time::sleep(Duration::from_millis(1_080)).await;
            model.replica.set_copy_fault(CopyFault::None);
        })
        .await;
    halls.assert_complete(&called, "stopped twice");
    let resumed = halls.gateway.logs().matches("event=went_on").count();
    assert_eq!(resumed, 2, "{}", halls.gateway.logs());
}

/// Guards against stopping a stream that flows again: the first stop is refused late, as its target has no room,
/// and another engine is named at once.
#[tokio::test]
async fn test_a_stream_that_flows_again_is_not_stopped_after_a_late_refusal() {
    let halls = Halls::start().await;
    let called = halls
        .chat_while(async |model, proxy| {
            let third = halls.gateway.start_replica(MODEL, "model-third", EVENTS).await;
            let is_listed =
                async || halls.gateway.log(0).contains("event=replica_listed upstream=model-third");
            halls.gateway.until("the third engine is known", is_listed).await;
            model.replica.set_copy_fault(CopyFault::NoRoomLate(Duration::from_millis(400)));
            delay_stream(proxy).await;
            tokio::time::sleep(DELAY).await;
            assert_eq!(third.replica.received_requests().len(), 0);
        })
        .await;
    halls.assert_complete(&called, "refused late");
    let copies: usize = halls.models.iter().map(|model| model.replica.copy_calls()).sum();
    assert_eq!(copies, 1, "{}", halls.gateway.logs());
}

/// Guards against resuming a stopped stream on an idle connection, which what silenced the stream's connection
/// has silenced too: "move_failed: no answer in time" at the caller's deadline.
#[tokio::test]
async fn test_a_stopped_stream_is_not_resumed_on_a_silent_idle_connection() {
    let halls = Halls::start_with_one_open().await;
    halls.leave_idle_connections().await;
    let called = halls
        .chat_while(async |_, proxy| {
            halls.open_first_hall().await;
            proxy.silence_open_links();
        })
        .await;
    halls.assert_complete(&called, "silent idle connections");
}

/// Guards against resuming a stopped stream on an idle connection that its engine has dropped, as engines may:
/// "move_failed: connection closed before message completed".
#[tokio::test]
async fn test_a_stopped_stream_is_not_resumed_on_a_dropped_idle_connection() {
    let halls = Halls::start_with_one_open().await;
    halls.leave_idle_connections().await;
    let called = halls
        .chat_while(async |model, proxy| {
            halls.open_first_hall().await;
            model.replica.set_fault(ReplicaFault::ClosesReusedConnections);
            delay_stream(proxy).await;
        })
        .await;
    halls.assert_complete(&called, "dropped idle connections");
}

/// Guards against ending a stream that began after its replica's restart because the entry of that restart
/// arrives only then: "engine_abandoned: it restarted".
#[tokio::test]
async fn test_a_stream_outlives_the_late_entry_of_its_replicas_restart() {
    let mut gateway = Gateway::start().await;
    gateway.store.put("config", "main", config(1));
    let model = gateway.start_replica(MODEL, "model-1", EVENTS).await;
    let address = model.server.as_ref().expect("the replica serves").address;
    let put_entry = |store: &MetadataStore, born: u64| {
        let mut entry = replica_entry(MODEL, address, HALLS[0], "ready");
        entry["born"] = born.into();
        store.put("servers", "model-1", entry);
    };
    put_entry(&gateway.store, 1);
    gateway.start_node();
    gateway.until_ready(0).await;
    let (called, ()) = tokio::join!(gateway.call(0, chat("r-1")), async {
        gateway.until("a generation runs", async || model.replica.running() > 0).await;
        tokio::time::sleep(DELAY_AFTER).await;
        put_entry(&gateway.store, 2);
    });
    assert!(called.whole, "{:?} events\n{}", called.events(), gateway.logs());
    assert_eq!(called.events(), Some(EVENTS));
}
