//! The interface that a node serves, one of leadstage's two.

use leadstage_lib::checked_yaml;
use leadstage_lib::checked_yaml::Problem;
use serde::Deserialize;

/// The field `interface` of a settings file.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Interface {
    /// Chat and text completions, with signed bundles.
    Completions,
    /// Forwards requests unaltered to the replicas that the platform lists.
    Gateway,
}

/// Only the field that determines how the rest is read.
#[derive(Default, Deserialize)]
#[serde(default)]
struct InterfaceField {
    interface: Option<Interface>,
}

/// The interface that a settings file names, if it names one. The error lists what is wrong with the file as a
/// whole or with that field.
pub fn interface_of(yaml: &str) -> Result<Option<Interface>, Vec<Problem>> {
    let is_empty = yaml.lines().all(|line| line.trim().is_empty() || line.trim_start().starts_with('#'));
    if is_empty {
        return Err(vec![Problem::new("(file)", "is empty")]);
    }
    match checked_yaml::read::<InterfaceField>(yaml) {
        (Some(field), problems) if problems.is_empty() => Ok(field.interface),
        (_, problems) => Err(problems),
    }
}
