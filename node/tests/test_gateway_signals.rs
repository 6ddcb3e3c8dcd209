//! Signals to a gateway node, from its start on: none but SIGKILL ends it with its callers' calls.

use std::time::Duration;

use leadstage_testutils::gateway_replica::ReplicaFault;

use crate::gateway_environment::BOOKING;
use crate::gateway_environment::Gateway;
use crate::gateway_environment::KEY;
use crate::gateway_environment::SettingsPipe;
use crate::gateway_environment::book;
use crate::gateway_environment::call;
use crate::gateway_environment::config;

/// Time that the calls of these tests take, long enough for signals to arrive meanwhile.
const CALL_TIME: Duration = Duration::from_millis(1_000);

/// Returns a fleet with a replica of plain calls whose first node has started without its settings.
async fn start_held_fleet() -> (Gateway, SettingsPipe) {
    let mut gateway = Gateway::start().await;
    gateway.store.put("config", "main", config(1));
    let (_, pipe) = gateway.start_held_node().await;
    (gateway, pipe)
}

async fn check_start_with_hangups(count: usize) {
    let (mut gateway, pipe) = start_held_fleet().await;
    let _booking = gateway.start_replica(BOOKING, "booking-1", 1).await;
    for _ in 0..count {
        gateway.signal(0, "-HUP");
    }
    gateway.deliver_settings(0, pipe);
    gateway.until_ready(0).await;
    assert_eq!(gateway.status_of(0, "/read/x", KEY).await, 200);
    gateway.until("the hangup to be handled", async || gateway.log(0).contains("event=reload ")).await;
    assert_eq!(gateway.ended(0), None);
}

#[tokio::test]
async fn test_a_hangup_before_the_settings_are_read_does_not_end_a_node() {
    check_start_with_hangups(1).await;
}

#[tokio::test]
async fn test_hangups_in_series_before_the_settings_are_read_do_not_end_a_node() {
    check_start_with_hangups(10).await;
}

#[tokio::test]
async fn test_a_stop_before_the_settings_are_read_is_a_planned_one() {
    for signals in [&["-TERM"][..], &["-INT"], &["-QUIT"], &["-HUP", "-TERM", "-HUP", "-HUP", "-TERM"]] {
        let (mut gateway, _pipe) = start_held_fleet().await;
        for signal in signals {
            // After the first signal to stop, the process may have ended.
            gateway.try_signal(0, signal);
        }
        assert!(gateway.wait_for_exit(0).await, "{signals:?} before the settings are read: a failure");
    }
}

/// Sends signals while a call is open; returns the call's status and the fleet.
async fn signal_during_a_call(signals: &[&str]) -> (u16, Gateway) {
    let (gateway, bookings, _models) = Gateway::with_replicas(1).await;
    bookings[0].replica.set_fault(ReplicaFault::Late(CALL_TIME));
    let address = gateway.client_address(0);
    let open_call = tokio::spawn(async move { call(&address, book("r-1")).await });
    gateway
        .until("the call to reach its replica", async || !bookings[0].replica.received_requests().is_empty())
        .await;
    for signal in signals {
        gateway.signal(0, signal);
    }
    let answer = open_call.await.expect("no panic");
    (answer.status, gateway)
}

async fn check_planned_stop(signals: &[&str]) {
    let (status, mut gateway) = signal_during_a_call(signals).await;
    assert_eq!(status, 200, "a call that is open when {signals:?} arrives\n{}", gateway.logs());
    assert!(gateway.wait_for_exit(0).await, "{signals:?}: the stop is no failure");
    let log = gateway.log(0);
    assert_eq!(log.matches(" event=stop ").count(), 1, "{}", gateway.logs());
    assert!(log.contains("event=stopped"), "{}", gateway.logs());
}

#[tokio::test]
async fn test_an_interrupt_is_a_planned_stop() {
    check_planned_stop(&["-INT"]).await;
}

#[tokio::test]
async fn test_a_quit_is_a_planned_stop() {
    check_planned_stop(&["-QUIT"]).await;
}

#[tokio::test]
async fn test_signals_during_a_planned_stop_do_not_cut_it() {
    check_planned_stop(&["-TERM", "-TERM", "-INT", "-QUIT", "-HUP", "-HUP", "-USR1", "-INT"]).await;
}

#[tokio::test]
async fn test_signals_without_a_meaning_are_ignored() {
    let names = ["USR1", "USR2", "ALRM", "VTALRM", "PROF", "IO", "PWR", "XFSZ"];
    let signals = names.map(|name| format!("-{name}"));
    let (status, mut gateway) = signal_during_a_call(&signals.each_ref().map(String::as_str)).await;
    assert_eq!(status, 200, "a call that is open meanwhile\n{}", gateway.logs());
    for name in names {
        let line = format!("event=signal_ignored signal=SIG{name} ");
        gateway.until(&line, async || gateway.log(0).contains(&line)).await;
    }
    assert_eq!(gateway.ended(0), None);
}

/// Guards against a hangup that is lost because it arrives while an earlier one is handled.
#[tokio::test]
async fn test_hangups_in_series_reload_the_latest_settings() {
    let (mut gateway, _bookings, _models) = Gateway::with_replicas(1).await;
    for _ in 0..10 {
        gateway.signal(0, "-HUP");
    }
    gateway.lay_settings(0, &gateway.settings(0, gateway.store_address(), "# changed\n"));
    gateway.signal(0, "-HUP");
    gateway
        .until("the reload to succeed", async || gateway.log(0).contains("event=reload changed=true"))
        .await;
    assert_eq!(gateway.status_of(0, "/read/x", KEY).await, 200);
    assert_eq!(gateway.ended(0), None);
}

/// Guards against a reload that keeps the control thread from everything else while its file is read.
#[tokio::test]
async fn test_a_reload_from_a_file_that_blocks_does_not_hold_up_calls_and_a_stop() {
    let (mut gateway, _bookings, _models) = Gateway::with_replicas(1).await;
    let pipe = SettingsPipe::lay(&gateway.settings_path(0));
    gateway.signal(0, "-HUP");
    gateway.wait_for_reader(0, &pipe).await;
    assert_eq!(gateway.status_of(0, "/read/x", KEY).await, 200);
    gateway.signal(0, "-TERM");
    assert!(gateway.wait_for_exit(0).await, "the stop is no failure\n{}", gateway.logs());
    assert!(gateway.log(0).contains("event=stopped"), "{}", gateway.logs());
}

/// Guards against a settings file that is no longer followed after a reading that took long.
#[tokio::test]
async fn test_a_reload_from_a_file_that_blocks_goes_on_with_its_text() {
    let (mut gateway, _bookings, _models) = Gateway::with_replicas(1).await;
    let pipe = SettingsPipe::lay(&gateway.settings_path(0));
    gateway.signal(0, "-HUP");
    gateway.wait_for_reader(0, &pipe).await;
    gateway.lay_settings(0, &gateway.settings(0, gateway.store_address(), "# second\n"));
    pipe.deliver(&gateway.settings(0, gateway.store_address(), "# first\n"));
    let reloads = || gateway.log(0).matches("event=reload changed=true").count();
    gateway.until("both files to be applied", async || reloads() == 2).await;
    assert_eq!(gateway.status_of(0, "/read/x", KEY).await, 200);
}
