//! The node's settings file and command line.

use std::process::Command;

fn check(yaml: &str) -> (i32, String) {
    let dir = tempfile::TempDir::new().expect("a temporary directory");
    let path = dir.path().join("node.yaml");
    std::fs::write(&path, yaml).expect("writable");
    let mut command = Command::new(env!("CARGO_BIN_EXE_leadstaged"));
    let output = command.arg("--check-config").arg("--config").arg(&path).output().expect("leadstaged runs");
    let text = [output.stdout, output.stderr].concat();
    (output.status.code().unwrap_or(-1), String::from_utf8_lossy(&text).into_owned())
}

const VALID_SETTINGS: &str = "\
vm: entry-1
hall: lj-a
listen: 127.0.0.1:8080
admin: 127.0.0.1:8081
peer: 127.0.0.1:8082
platform: 127.0.0.1:9000
operators: ['O2onvM62pC1io6jQKm8Nc2UyFXcd4kOmOsBIoYtZ2ik=']
";

#[test]
fn test_valid_settings() {
    assert_eq!(check(VALID_SETTINGS), (0, "the settings are right\n".to_owned()));
}

#[test]
fn test_every_mistake_is_listed() {
    let (code, text) =
        check("vm: entry-1\nlisten: here\nport: 7\noperators: [abc]\nsign_offs: 3\ntraffic_threads: 0\n");
    assert_eq!(code, 2);
    insta::assert_snapshot!(text, @r#"
    leadstaged: 10 mistakes in the settings
      interface: is not given: checked as settings of `completions`, not of `gateway`
      listen: invalid socket address syntax (found "here")
      port: unknown field `port`, expected one of `interface`, `vm`, `hall`, `listen`, `admin`, `peer`, `platform`, `operators`, `sign_offs`, `traffic_threads` (found 7)
      hall: must be given: the hall's id
      admin: must be given: IP:PORT
      peer: must be given: IP:PORT
      platform: must be given: IP:PORT
      operators[0]: "abc" is not an ed25519 public key in base64
      sign_offs: 3 must be from 1 to the 1 operators
      traffic_threads: 0 must be from 1 to 64
    "#);
}

#[test]
fn test_command_line() {
    let run =
        |args: &[&str]| Command::new(env!("CARGO_BIN_EXE_leadstaged")).args(args).output().expect("it runs");
    assert_eq!(run(&["--help"]).status.code(), Some(0));
    assert_eq!(run(&[]).status.code(), Some(2));
    assert_eq!(run(&["--colour"]).status.code(), Some(2));
    assert_eq!(run(&["--config", "/nonexistent"]).status.code(), Some(2));
}

const GATEWAY_SETTINGS: &str = "\
interface: gateway
vm: entry-1
hall: lj-a
listen: 127.0.0.1:8080
ready: 127.0.0.1:8081
peer: 127.0.0.1:8082
metrics: 127.0.0.1:8083
store: 127.0.0.1:9000
";

#[test]
fn test_switches_of_the_policy_are_checked() {
    let (code, text) = check(&format!("{GATEWAY_SETTINGS}policy: {{balance: false, learn: true}}\n"));
    assert_eq!((code, text.as_str()), (0, "the settings are right\n"));
    let (code, text) = check(&format!("{GATEWAY_SETTINGS}policy: {{balance: 3, magic: true}}\n"));
    assert_eq!(code, 2);
    insta::assert_snapshot!(text, @r"
    leadstaged: 2 mistakes in the settings
      policy.balance: invalid type: integer `3`, expected a boolean (found 3)
      policy.magic: unknown field `magic`, expected one of `evacuate`, `copy_turns`, `balance`, `reading_clocks`, `learn`, `stay_in_hall`, `admit_by_peak`, `pass_over`, `wait_for_room`, `resume_streams`, `repeat`, `rest_after_failures`, `avoid_errors`, `look_out`, `share_room`, `share_calls`, `protect_gaps`, `ramp_up`, `bound_heads`
    ");
}

#[test]
fn test_a_file_that_names_no_interface_says_so_first() {
    let (code, text) = check(&GATEWAY_SETTINGS.replace("interface: gateway\n", ""));
    assert_eq!(code, 2);
    insta::assert_snapshot!(text, @r#"
    leadstaged: 7 mistakes in the settings
      interface: is not given: checked as settings of `completions`, not of `gateway`
      metrics: unknown field `metrics`, expected one of `interface`, `vm`, `hall`, `listen`, `admin`, `peer`, `platform`, `operators`, `sign_offs`, `traffic_threads` (found "127.0.0.1:8083")
      ready: unknown field `ready`, expected one of `interface`, `vm`, `hall`, `listen`, `admin`, `peer`, `platform`, `operators`, `sign_offs`, `traffic_threads` (found "127.0.0.1:8081")
      store: unknown field `store`, expected one of `interface`, `vm`, `hall`, `listen`, `admin`, `peer`, `platform`, `operators`, `sign_offs`, `traffic_threads` (found "127.0.0.1:9000")
      admin: must be given: IP:PORT
      platform: must be given: IP:PORT
      operators: must list at least one public key in base64
    "#);
}

#[test]
fn test_a_file_that_is_not_whole_is_not_checked_as_one_of_the_other_interface() {
    let misspelt = GATEWAY_SETTINGS.replace("gateway", "gatway");
    let texts = ["", "interface: gateway\nvm: \"entry", &misspelt].map(|yaml| {
        let (code, text) = check(yaml);
        assert_eq!(code, 2);
        text
    });
    insta::assert_snapshot!(texts.join("\n"), @r#"
    leadstaged: 1 mistakes in the settings
      (file): is empty

    leadstaged: 1 mistakes in the settings
      (file): error: line 2 column 5: unclosed quote
     --> <input>:2:5
      |
    1 | interface: gateway
    2 | vm: "entry
      |     ^ unclosed quote

    leadstaged: 1 mistakes in the settings
      interface: unknown variant `gatway`, expected `completions` or `gateway` (found "gatway")
    "#);
}

#[test]
fn test_settings_of_the_completions_interface_may_name_it() {
    let (code, text) = check(&format!("interface: completions\n{VALID_SETTINGS}"));
    assert_eq!((code, text.as_str()), (0, "the settings are right\n"));
}
