//! Tests of the commands that need no running fleet.

use std::path::Path;
use std::process::Command;

use tempfile::TempDir;

/// A temporary directory with files, in which the command runs.
struct Env {
    dir: TempDir,
}

impl Env {
    fn new() -> Env {
        Env { dir: TempDir::new().expect("a temporary directory") }
    }

    fn write(&self, name: &str, text: &str) {
        std::fs::write(self.dir.path().join(name), text).expect("the file is writable");
    }

    /// Runs a command line; returns its exit code, followed by stdout and stderr.
    fn run(&self, line: &str) -> String {
        let mut command = Command::new(env!("CARGO_BIN_EXE_leadstage"));
        let output =
            command.args(line.split(' ')).current_dir(self.dir.path()).output().expect("the command runs");
        let text = [output.stdout, output.stderr].concat();
        format!("exit {}\n{}", output.status.code().unwrap_or(-1), String::from_utf8_lossy(&text))
    }

    fn path(&self, name: &str) -> std::path::PathBuf {
        Path::new(self.dir.path()).join(name)
    }
}

const BUNDLE: &str = "\
number: 4
organisations:
  - {id: a, share: 2}
models:
  - {id: assistant}
";

#[test]
fn test_check_sign_and_diff() {
    let env = Env::new();
    env.write("old.yaml", BUNDLE);
    env.write("new.yaml", &BUNDLE.replace("number: 4", "number: 5").replace("share: 2", "share: 3"));
    env.write("wrong.yaml", "number: 0\nmodels: [{id: ''}]\n");
    let mut text = env.run("bundle check old.yaml");
    text.push_str(&env.run("bundle check wrong.yaml"));
    text.push_str(&env.run("bundle diff old.yaml new.yaml"));
    text.push_str(&env.run("bundle diff old.yaml new.yaml --format json"));
    insta::assert_snapshot!(text, @r#"
    exit 0
    bundle 4 is right
    exit 2
    leadstage: 2 mistakes in the bundle
      number: must be 1 or more
      models[0].id: "" must be 1 to 64 of letters, digits, '-', '_' and '.'
    hint: docs/CONFIG.md lists each field with what is allowed
    exit 0
    number: 4 -> 5
    organisations.[a].share: 2.0 -> 3.0
    exit 0
    [{"new":5,"old":4,"path":"number"},{"new":3.0,"old":2.0,"path":"organisations.[a].share"}]
    "#);
}

#[test]
fn test_keys_and_signatures() {
    let env = Env::new();
    env.write("b.yaml", BUNDLE);
    env.write("other.yaml", &BUNDLE.replace("number: 4", "number: 5"));
    assert!(env.run("keys new --out one.key").starts_with("exit 0\n"));
    assert!(env.run("keys new --out one.key").starts_with("exit 1\n"), "a key was overwritten");
    assert!(env.run("keys new --out two.key --format json").contains("public_key"));
    let mode = std::os::unix::fs::PermissionsExt::mode(
        &std::fs::metadata(env.path("one.key")).expect("the key file exists").permissions(),
    );
    assert_eq!(mode & 0o777, 0o600);
    let sign = |bundle: &str, key: &str| {
        env.run(&format!("bundle sign {bundle} --key {key} --operator amina --envelope b.json"))
    };
    let mut text = sign("b.yaml", "one.key");
    text.push_str(&sign("b.yaml", "one.key"));
    text.push_str(&sign("b.yaml", "two.key"));
    text.push_str(&sign("other.yaml", "two.key"));
    text.push_str(&sign("b.yaml", "b.yaml"));
    insta::assert_snapshot!(text, @"
    exit 0
    bundle 4 has 1 sign-offs in b.json
    exit 0
    bundle 4 has 1 sign-offs in b.json
    exit 0
    bundle 4 has 2 sign-offs in b.json
    exit 1
    leadstage: b.json: holds another bundle
    hint: sign into another file, or remove this one
    exit 2
    leadstage: b.yaml: not a signing key in base64
    hint: `leadstage keys new --out FILE` makes one
    ");
}

#[test]
fn test_wrong_arguments() {
    let env = Env::new();
    let lines =
        ["bundle", "bundle show", "status", "status --node here", "report burn --format xml", "--colour"];
    let text: String = lines.iter().map(|line| env.run(line)).collect();
    insta::assert_snapshot!(text, @r#"
    exit 2
    leadstage: unknown command: bundle
    hint: see `leadstage --help`
    exit 2
    leadstage: --platform IP:PORT is missing
    hint: see `leadstage --help`
    exit 2
    leadstage: --node IP:PORT is missing
    hint: see `leadstage --help`
    exit 2
    leadstage: cannot parse argument "here": invalid socket address syntax
    hint: see `leadstage --help`
    exit 2
    leadstage: --format xml: must be text or json
    hint: see `leadstage --help`
    exit 2
    leadstage: invalid option '--colour'
    hint: see `leadstage --help`
    "#);
    insta::assert_snapshot!(env.run("bundle show --help"), @"
    exit 0
      leadstage bundle show --platform IP:PORT
    bundle show       prints the accepted bundle, who signed it and who rolled it out

    See `leadstage --help` for the options and exit codes.
    ");
    assert!(env.run("--help").starts_with("exit 0\nleadstage: the operators' command"));
}

/// `status` fails if no node responds, and a roll-out without a response from the object API reports an
/// unknown outcome.
#[test]
fn test_unreachable_fleet_and_platform() {
    let env = Env::new();
    env.write("b.yaml", BUNDLE);
    env.run("keys new --out one.key");
    env.run("bundle sign b.yaml --key one.key --operator amina --envelope b.json");
    assert!(env.run("status --node 127.0.0.1:1").starts_with("exit 1\n"));
    let rolled_out = env.run("bundle roll-out b.json --platform 127.0.0.1:1");
    assert!(
        rolled_out.starts_with("exit 4\n") && rolled_out.contains("hint: run the same command again"),
        "{rolled_out}"
    );
}
