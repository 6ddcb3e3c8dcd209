//! Reads and validates the node's settings file.

use std::net::SocketAddr;

use ed25519_dalek::VerifyingKey;
use leadstage_lib::checked_yaml;
use leadstage_lib::checked_yaml::Problem;
use leadstage_lib::ids::HallId;
use leadstage_lib::ids::VmId;
use leadstage_lib::rollout::Trust;
use leadstage_lib::signing::decode_key;
use serde::Deserialize;

use crate::interface::Interface;

/// Maximum number of traffic threads.
const MAX_TRAFFIC_THREADS: usize = 64;

/// The settings file before validation.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct SettingsFile {
    #[serde(rename = "interface")]
    _interface: Option<Interface>,
    vm: Option<String>,
    hall: Option<String>,
    listen: Option<SocketAddr>,
    admin: Option<SocketAddr>,
    peer: Option<SocketAddr>,
    platform: Option<SocketAddr>,
    operators: Vec<String>,
    sign_offs: Option<usize>,
    traffic_threads: Option<usize>,
}

/// Validated settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This VM's id in the VM list.
    pub vm: VmId,
    /// The hall of this VM.
    pub hall: HallId,
    /// Address that callers connect to.
    pub listen: SocketAddr,
    /// Address that serves health, metrics and status.
    pub admin: SocketAddr,
    /// Address that other nodes connect to.
    pub peer: SocketAddr,
    /// Address of the platform's object API and VM list.
    pub platform: SocketAddr,
    /// Keys of the operators whose sign-offs count, and how many sign-offs a bundle needs.
    pub trust: Trust,
    /// Number of traffic threads.
    pub traffic_threads: usize,
}

impl Settings {
    /// Parses and validates a settings file; the error lists every problem.
    pub fn from_yaml(yaml: &str) -> Result<Settings, Vec<Problem>> {
        let (file, mut problems) = checked_yaml::read::<SettingsFile>(yaml);
        let file = file.unwrap_or_default();
        let settings = check(&file, &mut problems);
        match settings {
            Some(settings) if problems.is_empty() => Ok(settings),
            _ => Err(problems),
        }
    }
}

fn check(file: &SettingsFile, problems: &mut Vec<Problem>) -> Option<Settings> {
    let vm = required(&file.vm, "vm", "an id as in the VM list", problems);
    let hall = required(&file.hall, "hall", "the hall's id", problems);
    let address = "IP:PORT";
    let listen = required(&file.listen, "listen", address, problems);
    let admin = required(&file.admin, "admin", address, problems);
    let peer = required(&file.peer, "peer", address, problems);
    let platform = required(&file.platform, "platform", address, problems);
    let keys = check_operators(file, problems);
    let sign_offs = file.sign_offs.unwrap_or(1);
    if !file.operators.is_empty() && !(1..=file.operators.len()).contains(&sign_offs) {
        let message = format!("{sign_offs} must be from 1 to the {} operators", file.operators.len());
        problems.push(Problem::new("sign_offs", message));
    }
    let traffic_threads = file.traffic_threads.unwrap_or(1);
    if !(1..=MAX_TRAFFIC_THREADS).contains(&traffic_threads) {
        let message = format!("{traffic_threads} must be from 1 to {MAX_TRAFFIC_THREADS}");
        problems.push(Problem::new("traffic_threads", message));
    }
    Some(Settings {
        vm: vm?.into(),
        hall: hall?.into(),
        listen: listen?,
        admin: admin?,
        peer: peer?,
        platform: platform?,
        trust: Trust { keys, sign_offs },
        traffic_threads,
    })
}

pub(crate) fn required<T: Clone>(
    value: &Option<T>,
    path: &str,
    what: &str,
    problems: &mut Vec<Problem>,
) -> Option<T> {
    let already_reported = problems.iter().any(|p| p.path == path);
    if value.is_none() && !already_reported {
        problems.push(Problem::new(path, format!("must be given: {what}")));
    }
    value.clone()
}

fn check_operators(file: &SettingsFile, problems: &mut Vec<Problem>) -> Vec<VerifyingKey> {
    if file.operators.is_empty() && !problems.iter().any(|p| p.path.starts_with("operators")) {
        problems.push(Problem::new("operators", "must list at least one public key in base64"));
    }
    let mut keys = Vec::new();
    for (at, text) in file.operators.iter().enumerate() {
        match decode_key(text) {
            Some(key) if keys.contains(&key) => {
                problems.push(Problem::new(format!("operators[{at}]"), "stands twice"));
            }
            Some(key) => keys.push(key),
            None => {
                let message = format!("{text:?} is not an ed25519 public key in base64");
                problems.push(Problem::new(format!("operators[{at}]"), message));
            }
        }
    }
    keys
}
