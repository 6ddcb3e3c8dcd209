//! Settings files that are empty or half written while a gateway node starts.

use std::path::Path;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use tempfile::TempDir;

use crate::gateway_environment::BOOKING;
use crate::gateway_environment::Gateway;
use crate::gateway_environment::KEY;
use crate::gateway_environment::SettingsPipe;
use crate::gateway_environment::WAIT_TIMEOUT;
use crate::gateway_environment::config;

/// Interval between two checks whether a process has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Contents of a settings file that is being written.
const PARTS: [&str; 4] = [
    "",
    "# Settings of a gateway node\n",
    "interface: gateway\nvm: node-0\nhall: \"hal",
    "interface: gateway\nvm: node-0\n",
];

/// Starts a node that reads `part` at first and then waits for a whole file.
async fn start_with_part(gateway: &mut Gateway, part: &str) -> (usize, SettingsPipe) {
    let (node, first) = gateway.start_held_node().await;
    let second = SettingsPipe::lay(&gateway.settings_path(node));
    first.deliver(part);
    gateway.wait_for_reader(node, &second).await;
    (node, second)
}

#[tokio::test]
async fn test_a_start_waits_for_a_whole_settings_file() {
    let mut gateway = Gateway::start().await;
    gateway.store.put("config", "main", config(1));
    let _booking = gateway.start_replica(BOOKING, "booking-1", 1).await;
    for part in PARTS {
        let (node, pipe) = start_with_part(&mut gateway, part).await;
        gateway.deliver_settings(node, pipe);
        gateway.until_ready(node).await;
        assert_eq!(gateway.status_of(node, "/read/x", KEY).await, 200);
        assert_eq!(gateway.log(node).matches("event=settings_late").count(), 1, "{}", gateway.logs());
    }
}

#[tokio::test]
async fn test_a_stop_while_a_start_waits_for_its_settings_is_a_planned_one() {
    let mut gateway = Gateway::start().await;
    let (node, _pipe) = start_with_part(&mut gateway, "").await;
    gateway.signal(node, "-TERM");
    assert!(gateway.wait_for_exit(node).await, "the stop is no failure");
}

#[test]
fn test_a_start_ends_if_its_settings_stay_invalid() {
    let dir = TempDir::new().expect("a folder");
    std::fs::write(dir.path().join("node.yaml"), PARTS[3]).expect("writable");
    let mut command = Command::new(env!("CARGO_BIN_EXE_leadstaged"));
    let output = command.current_dir(&dir).args(["--config", "node.yaml"]).output().expect("it runs");
    assert_eq!(output.status.code(), Some(2));
    insta::assert_snapshot!(String::from_utf8_lossy(&output.stderr), @r"
    leadstaged: 6 mistakes in the settings; waiting for a whole settings file
    leadstaged: 6 mistakes in the settings
      hall: must be given: the hall's id
      listen: must be given: IP:PORT
      ready: must be given: IP:PORT
      peer: must be given: IP:PORT
      metrics: must be given: IP:PORT
      store: must be given: IP:PORT
    ");
}

#[tokio::test]
async fn test_a_check_of_the_settings_does_not_wait_for_a_whole_file() {
    let dir = TempDir::new().expect("a folder");
    let path = dir.path().join("node.yaml");
    let first = SettingsPipe::lay(&path);
    let mut command = Command::new(env!("CARGO_BIN_EXE_leadstaged"));
    command.arg("--check-config").arg("--config").arg(&path);
    let mut check = command.stdout(Stdio::null()).stderr(Stdio::piped()).spawn().expect("it starts");
    first.wait_for_reader(&mut check).await;
    std::fs::remove_file(&path).expect("the FIFO is there");
    first.deliver("");
    let output = check.wait_with_output().expect("it ends");
    let text = String::from_utf8_lossy(&output.stderr);
    assert_eq!(
        (output.status.code(), &*text),
        (Some(2), "leadstaged: 1 mistakes in the settings\n  (file): is empty\n")
    );
}

/// Returns a command whose standard output and standard error have lost their reader.
fn unheard_command(arguments: &[&str], config: &Path) -> Command {
    let (reader, writer) = std::io::pipe().expect("a pipe");
    drop(reader);
    let mut command = Command::new(env!("CARGO_BIN_EXE_leadstaged"));
    command.args(arguments).arg("--config").arg(config);
    command.stdin(Stdio::null()).stdout(writer.try_clone().expect("a pipe")).stderr(writer);
    command
}

#[test]
fn test_exit_codes_do_not_depend_on_a_reader_of_the_output() {
    let dir = TempDir::new().expect("a folder");
    let path = dir.path().join("node.yaml");
    let exit_code = |arguments: &[&str], text: &str| {
        std::fs::write(&path, text).expect("writable");
        unheard_command(arguments, &path).status().expect("it runs").code()
    };
    let valid = "interface: gateway\nvm: node-0\nhall: hall-1\nlisten: 127.0.0.1:7001\nready: 127.0.0.1:7002\n\
                 peer: 127.0.0.1:7003\nmetrics: 127.0.0.1:7004\nstore: 127.0.0.1:7005\n";
    let codes = [
        ("run, invalid", exit_code(&[], PARTS[3])),
        ("check, invalid", exit_code(&["--check-config"], PARTS[3])),
        ("check, valid", exit_code(&["--check-config"], valid)),
        ("help", exit_code(&["--help"], "")),
    ];
    insta::assert_compact_debug_snapshot!(codes, @r#"[("run, invalid", Some(2)), ("check, invalid", Some(2)), ("check, valid", Some(0)), ("help", Some(0))]"#);
}

#[tokio::test]
async fn test_a_stop_before_the_settings_are_read_does_not_depend_on_a_reader_of_the_output() {
    let dir = TempDir::new().expect("a folder");
    let path = dir.path().join("node.yaml");
    let pipe = SettingsPipe::lay(&path);
    let mut process = unheard_command(&[], &path).spawn().expect("it starts");
    pipe.wait_for_reader(&mut process).await;
    let status = Command::new("kill").args(["-TERM", &process.id().to_string()]).status().expect("kill runs");
    assert!(status.success(), "kill -TERM");
    let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
    let mut status = None;
    while status.is_none() && tokio::time::Instant::now() < deadline {
        tokio::time::sleep(POLL_INTERVAL).await;
        status = process.try_wait().expect("a child");
    }
    if status.is_none() {
        process.kill().expect("it runs");
        process.wait().expect("a child");
    }
    assert_eq!(status.and_then(|status| status.code()), Some(0));
}
