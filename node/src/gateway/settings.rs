//! The settings file of a gateway node.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use leadstage_lib::checked_yaml;
use leadstage_lib::checked_yaml::Problem;
use leadstage_lib::gateway::cold_start::ColdBounds;
use leadstage_lib::gateway::policy::Policy;
use leadstage_lib::gateway::regions::HallRegions;
use leadstage_lib::gateway::upgrade_judge::ExposureBounds;
use leadstage_lib::ids::HallId;
use leadstage_lib::ids::VmId;
use serde::Deserialize;

use crate::interface::Interface;
use crate::settings::required;

/// Bandwidth of a VM's link if the settings don't set it, in 10^6 bits per second.
const DEFAULT_LINK_MBPS: f64 = 1_000.0;
/// Memory of a VM if the settings don't set it, in 10^6 bytes.
const DEFAULT_MEMORY_MB: f64 = 256.0;
/// Factor by which the rate of cold replicas may be exceeded if the settings don't set it.
const DEFAULT_COLD_OVERSHOOT: f64 = 1.0;
/// Bandwidth from which on a link counts as wide: 1 MB takes less than a tenth of a second.
const WIDE_LINK_MBPS: f64 = 100.0;

/// The settings file as written.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct SettingsFile {
    #[serde(rename = "interface")]
    _interface: Option<Interface>,
    vm: Option<String>,
    hall: Option<String>,
    listen: Option<SocketAddr>,
    ready: Option<SocketAddr>,
    peer: Option<SocketAddr>,
    metrics: Option<SocketAddr>,
    seeds: Vec<SocketAddr>,
    store: Option<SocketAddr>,
    link_mbps: Option<f64>,
    memory_mb: Option<f64>,
    first_start: bool,
    regions: BTreeMap<String, String>,
    bounds: BoundsFile,
    policy: Policy,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct BoundsFile {
    #[serde(with = "humantime_serde")]
    stop_within: Duration,
    retry_ratio: f64,
    retry_slack: f64,
    #[serde(with = "humantime_serde")]
    retry_window: Duration,
    #[serde(with = "humantime_serde")]
    config_within: Duration,
    #[serde(with = "humantime_serde")]
    drain_within: Duration,
    cold_overshoot: Option<f64>,
    cold_slack: Option<f64>,
    exposure_share: Option<f64>,
    exposure_slack: Option<f64>,
}

impl Default for BoundsFile {
    fn default() -> Self {
        BoundsFile {
            stop_within: Duration::from_secs(8),
            retry_ratio: 0.1,
            retry_slack: 10.0,
            retry_window: Duration::from_secs(10),
            config_within: Duration::from_secs(2),
            drain_within: Duration::from_secs(2),
            cold_overshoot: None,
            cold_slack: None,
            exposure_share: None,
            exposure_slack: None,
        }
    }
}

/// Bounds that apply to the whole fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Maximum duration of a planned stop.
    pub stop_within: Duration,
    /// Maximum ratio of retries to requests to a service, over all nodes.
    pub retry_ratio: f64,
    /// Retries that are allowed beyond the ratio, over all nodes.
    pub retry_slack: f64,
    /// The time window that `retry_ratio` and `retry_slack` apply to.
    pub retry_window: Duration,
    /// Time after which a change that the store has accepted must be in force at every node: the smaller of the
    /// bounds for configurations and for replicas that leave.
    pub max_staleness: Duration,
    /// Bounds on what all nodes together may send to a cold replica.
    pub cold: ColdBounds,
    /// Bounds on what a version of a service's software may be sent while it is on trial; `None` if the
    /// operator orders no upgrades.
    pub exposure: Option<ExposureBounds>,
}

/// Checked settings of a gateway node.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// This VM's id.
    pub vm: VmId,
    /// Its hall.
    pub hall: HallId,
    /// Address that callers connect to.
    pub listen: SocketAddr,
    /// Address at which the balancer checks whether the node is ready.
    pub ready: SocketAddr,
    /// Address that other nodes send to.
    pub peer: SocketAddr,
    /// Address at which metrics and explanations are served.
    pub metrics: SocketAddr,
    /// Peer addresses of other nodes, possibly stale.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Bandwidth of this VM's link, in 10^6 bits per second.
    pub link_mbps: f64,
    /// This VM's memory, in bytes.
    pub memory_bytes: usize,
    /// Whether the whole fleet starts for the first time: no callers wait yet, and what the store holds
    /// comes from the first nodes that watch it.
    pub first_start: bool,
    /// The region of each hall.
    pub regions: HallRegions,
    /// Bounds that apply to the whole fleet.
    pub bounds: Bounds,
    /// Which decisions the node makes by itself.
    pub policy: Policy,
}

impl GatewaySettings {
    /// Whether other nodes should prefer this VM to most as the source of large transfers.
    pub fn has_wide_link(&self) -> bool {
        self.link_mbps >= WIDE_LINK_MBPS
    }

    /// Bandwidth of this VM's link, in bits per second.
    pub fn link_bits_per_second(&self) -> f64 {
        self.link_mbps * 1e6
    }

    /// Whether `other` has the same identity, addresses, link, memory and policy, which only a restart
    /// changes.
    pub fn has_same_fixed_settings(&self, other: &GatewaySettings) -> bool {
        let fixed = |s: &GatewaySettings| {
            (
                s.vm.clone(),
                s.hall.clone(),
                [s.listen, s.ready, s.peer, s.metrics, s.store],
                s.link_mbps,
                s.memory_bytes,
                s.policy,
            )
        };
        fixed(self) == fixed(other)
    }

    /// Reads and checks a settings file; the error lists every problem.
    pub fn from_yaml(yaml: &str) -> Result<GatewaySettings, Vec<Problem>> {
        let (file, mut problems) = checked_yaml::read::<SettingsFile>(yaml);
        let settings = check(&file.unwrap_or_default(), &mut problems);
        match settings {
            Some(settings) if problems.is_empty() => Ok(settings),
            _ => Err(problems),
        }
    }
}

fn check(file: &SettingsFile, problems: &mut Vec<Problem>) -> Option<GatewaySettings> {
    let address = "IP:PORT";
    let vm = required(&file.vm, "vm", "the VM's id", problems);
    let hall = required(&file.hall, "hall", "the hall's id", problems);
    let listen = required(&file.listen, "listen", address, problems);
    let ready = required(&file.ready, "ready", address, problems);
    let peer = required(&file.peer, "peer", address, problems);
    let metrics = required(&file.metrics, "metrics", address, problems);
    let store = required(&file.store, "store", address, problems);
    let link_mbps = check_positive("link_mbps", file.link_mbps, DEFAULT_LINK_MBPS, problems);
    let memory_mb = check_positive("memory_mb", file.memory_mb, DEFAULT_MEMORY_MB, problems);
    let bounds = check_bounds(&file.bounds, problems);
    Some(GatewaySettings {
        vm: vm?.into(),
        hall: hall?.into(),
        listen: listen?,
        ready: ready?,
        peer: peer?,
        metrics: metrics?,
        seeds: file.seeds.clone(),
        store: store?,
        link_mbps,
        memory_bytes: (memory_mb * 1e6) as usize,
        first_start: file.first_start,
        regions: regions(&file.regions),
        bounds,
        policy: file.policy,
    })
}

fn regions(of_halls: &BTreeMap<String, String>) -> HallRegions {
    HallRegions::new(of_halls.iter().map(|(hall, region)| (hall.as_str().into(), region.as_str().into())))
}

fn check_positive(name: &str, value: Option<f64>, default: f64, problems: &mut Vec<Problem>) -> f64 {
    let value = value.unwrap_or(default);
    if !value.is_finite() || value <= 0.0 {
        problems.push(Problem::new(name, format!("{value} must be more than 0")));
    }
    value
}

fn check_bounds(file: &BoundsFile, problems: &mut Vec<Problem>) -> Bounds {
    for (name, value) in [("retry_ratio", file.retry_ratio), ("retry_slack", file.retry_slack)] {
        if !value.is_finite() || value < 0.0 {
            problems.push(Problem::new(format!("bounds.{name}"), format!("{value} must be 0 or more")));
        }
    }
    let cold = ColdBounds {
        overshoot: file.cold_overshoot.unwrap_or(DEFAULT_COLD_OVERSHOOT),
        slack: file.cold_slack.unwrap_or_default(),
    };
    for (name, value) in [("cold_overshoot", cold.overshoot), ("cold_slack", cold.slack)] {
        if !value.is_finite() || value < 0.0 {
            problems.push(Problem::new(format!("bounds.{name}"), format!("{value} must be 0 or more")));
        }
    }
    let durations = [
        ("stop_within", file.stop_within),
        ("retry_window", file.retry_window),
        ("config_within", file.config_within),
        ("drain_within", file.drain_within),
    ];
    for (name, value) in durations {
        if value.is_zero() {
            problems.push(Problem::new(format!("bounds.{name}"), "must be more than 0s"));
        }
    }
    Bounds {
        stop_within: file.stop_within,
        retry_ratio: file.retry_ratio,
        retry_slack: file.retry_slack,
        retry_window: file.retry_window,
        max_staleness: file.config_within.min(file.drain_within),
        cold,
        exposure: check_exposure(file, problems),
    }
}

fn check_exposure(file: &BoundsFile, problems: &mut Vec<Problem>) -> Option<ExposureBounds> {
    let slack = file.exposure_slack.unwrap_or_default();
    if !slack.is_finite() || slack < 0.0 {
        problems.push(Problem::new("bounds.exposure_slack", format!("{slack} must be 0 or more")));
    }
    let share = file.exposure_share?;
    if !(0.0..=1.0).contains(&share) {
        problems.push(Problem::new("bounds.exposure_share", format!("{share} must be between 0 and 1")));
    }
    Some(ExposureBounds { share, slack })
}
