//! `leadstage bundle check|sign|roll-out|show|diff`.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use leadstage_lib::bundle::Bundle;
use leadstage_lib::rollout::BUNDLE_OBJECT;
use leadstage_lib::rollout::Rollout;
use leadstage_lib::rollout::RolloutStep;
use leadstage_lib::signing::Envelope;
use leadstage_lib::signing::decode_signing_key;
use leadstage_lib::signing::sign;
use serde_json::Value;
use serde_json::json;

use crate::args::BundleSource;
use crate::args::Format;
use crate::error::CliError;
use crate::http;

/// Delay before a failed step of a roll-out is retried.
const RETRY_DELAY: Duration = Duration::from_millis(300);

fn read_file(path: &Path) -> Result<String, CliError> {
    std::fs::read_to_string(path).map_err(|source| CliError::File { path: path.to_owned(), source })
}

fn write_file(path: &Path, bytes: &[u8]) -> Result<(), CliError> {
    std::fs::write(path, bytes).map_err(|source| CliError::File { path: path.to_owned(), source })
}

fn read_bundle(path: &Path) -> Result<(String, Bundle), CliError> {
    let yaml = read_file(path)?;
    let bundle = Bundle::from_yaml(&yaml).map_err(CliError::InvalidBundle)?;
    Ok((yaml, bundle))
}

/// Checks a bundle file.
pub fn check(path: &Path, format: Format) -> Result<String, CliError> {
    let (_, bundle) = read_bundle(path)?;
    Ok(match format {
        Format::Json => format!("{}\n", json!({"number": bundle.number, "problems": []})),
        Format::Text => format!("bundle {} is right\n", bundle.number),
    })
}

/// Signs a bundle file and adds the signature to an envelope, which keeps the signatures of other keys.
pub fn sign_off(
    path: &Path,
    key: &Path,
    operator: &str,
    envelope: &Path,
    format: Format,
) -> Result<String, CliError> {
    let (yaml, bundle) = read_bundle(path)?;
    let key_text = read_file(key)?;
    let signing_key =
        decode_signing_key(&key_text).ok_or_else(|| CliError::InvalidKey { path: key.to_owned() })?;
    let mut signed = match envelope.exists() {
        true => Envelope::from_bytes(read_file(envelope)?.as_bytes())?,
        false => Envelope {
            number: bundle.number,
            operator: operator.to_owned(),
            yaml: yaml.clone(),
            signatures: Vec::new(),
        },
    };
    if signed.yaml != yaml {
        return Err(CliError::EnvelopeMismatch { path: envelope.to_owned() });
    }
    let sign_off = sign(&yaml, &signing_key);
    signed.signatures.retain(|s| s.key != sign_off.key);
    signed.signatures.push(sign_off);
    write_file(envelope, &signed.to_bytes())?;
    let count = signed.signatures.len();
    Ok(match format {
        Format::Json => format!("{}\n", json!({"number": bundle.number, "sign_offs": count})),
        Format::Text => format!("bundle {} has {count} sign-offs in {}\n", bundle.number, envelope.display()),
    })
}

/// Rolls out an envelope with a conditional update. If its outcome is unknown, the object is read back to
/// determine it.
pub async fn roll_out(
    path: &Path,
    platform: SocketAddr,
    operator: Option<&str>,
    format: Format,
) -> Result<String, CliError> {
    let mut envelope = Envelope::from_bytes(read_file(path)?.as_bytes())?;
    Bundle::from_yaml(&envelope.yaml).map_err(CliError::InvalidBundle)?;
    if let Some(operator) = operator {
        envelope.operator = operator.to_owned();
    }
    let mut rollout = Rollout::new(&envelope);
    let mut step = RolloutStep::Read;
    loop {
        step = match step {
            RolloutStep::Read => read_step(&mut rollout, platform).await,
            RolloutStep::Write { expected } => write_step(&mut rollout, platform, expected, &envelope).await,
            RolloutStep::Accepted => return Ok(accepted_text(&envelope, format)),
            RolloutStep::Failed(err) => return Err(err.into()),
        };
    }
}

fn accepted_text(envelope: &Envelope, format: Format) -> String {
    match format {
        Format::Json => format!("{}\n", json!({"number": envelope.number, "hash": envelope.hash()})),
        Format::Text => format!("bundle {} is accepted\n", envelope.number),
    }
}

fn object_path() -> String {
    format!("/v1/objects/{BUNDLE_OBJECT}")
}

async fn read_step(rollout: &mut Rollout, platform: SocketAddr) -> RolloutStep {
    let response = http::get(platform, &object_path()).await;
    match response {
        Ok(response) if response.status == 200 => {
            rollout.on_read(response.version.map(|version| (version, &response.body[..])))
        }
        Ok(response) if response.status == 404 => rollout.on_read(None),
        _ => {
            tokio::time::sleep(RETRY_DELAY).await;
            rollout.on_failure()
        }
    }
}

async fn write_step(
    rollout: &mut Rollout,
    platform: SocketAddr,
    expected: u64,
    envelope: &Envelope,
) -> RolloutStep {
    let response = http::put(platform, &object_path(), expected, envelope.to_bytes()).await;
    match response.map(|response| response.status) {
        Ok(200) => rollout.on_written(),
        Ok(412) => rollout.on_conflict(),
        _ => {
            tokio::time::sleep(RETRY_DELAY).await;
            rollout.on_failure()
        }
    }
}

async fn fetch_accepted(platform: SocketAddr) -> Result<Envelope, CliError> {
    let response = http::get(platform, &object_path()).await?;
    if response.status != 200 {
        let reason = format!("HTTP status {}", response.status);
        return Err(CliError::UnexpectedResponse { what: "the accepted bundle".to_owned(), reason });
    }
    Ok(Envelope::from_bytes(&response.body)?)
}

/// Shows the accepted bundle.
pub async fn show(platform: SocketAddr, format: Format) -> Result<String, CliError> {
    let envelope = fetch_accepted(platform).await?;
    if format == Format::Json {
        return Ok(format!("{}\n", serde_json::to_string_pretty(&envelope).expect("plain data serialises")));
    }
    let signers: Vec<&str> = envelope.signatures.iter().map(|s| &*s.key).collect();
    Ok(format!(
        "# number {}, rolled out by {}, hash {}\n# signed by {}\n{}",
        envelope.number,
        envelope.operator,
        envelope.hash(),
        signers.join(", "),
        envelope.yaml,
    ))
}

/// Compares two bundles field by field.
pub async fn diff(old: BundleSource, new: BundleSource, format: Format) -> Result<String, CliError> {
    let (old, new) = (read_source(old).await?, read_source(new).await?);
    let mut changes = Vec::new();
    compare("", &old, &new, &mut changes);
    if format == Format::Json {
        let lines: Vec<Value> =
            changes.iter().map(|c| json!({"path": c.path, "old": c.old, "new": c.new})).collect();
        return Ok(format!("{}\n", Value::from(lines)));
    }
    let lines = changes
        .iter()
        .map(|c| format!("{}: {} -> {}\n", c.path, display_value(&c.old), display_value(&c.new)));
    Ok(lines.collect())
}

async fn read_source(source: BundleSource) -> Result<Value, CliError> {
    let bundle = match source {
        BundleSource::File(path) => read_bundle(&path)?.1,
        BundleSource::Accepted(platform) => {
            Bundle::from_yaml(&fetch_accepted(platform).await?.yaml).map_err(CliError::InvalidBundle)?
        }
    };
    Ok(serde_json::to_value(bundle).expect("plain data serialises"))
}

struct Change {
    path: String,
    old: Option<Value>,
    new: Option<Value>,
}

fn display_value(value: &Option<Value>) -> String {
    value.as_ref().map_or_else(|| "(none)".to_owned(), Value::to_string)
}

/// Collects the differences of two values. List elements are matched by their `id` or `prefix` if all have
/// one; other lists are compared as a whole.
fn compare(path: &str, old: &Value, new: &Value, changes: &mut Vec<Change>) {
    match (members(old), members(new)) {
        (Some(old), Some(new)) => {
            for (name, value) in &old {
                let member_path = join_path(path, name);
                match new.iter().find(|(other, _)| other == name) {
                    Some((_, other)) => compare(&member_path, value, other, changes),
                    None => {
                        changes.push(Change { path: member_path, old: Some((*value).clone()), new: None })
                    }
                }
            }
            let added = new.iter().filter(|(name, _)| !old.iter().any(|(other, _)| other == name));
            changes.extend(added.map(|(name, value)| Change {
                path: join_path(path, name),
                old: None,
                new: Some((*value).clone()),
            }));
        }
        _ if old != new => {
            changes.push(Change { path: path.to_owned(), old: Some(old.clone()), new: Some(new.clone()) });
        }
        _ => {}
    }
}

fn join_path(path: &str, name: &str) -> String {
    if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") }
}

fn members(value: &Value) -> Option<Vec<(String, &Value)>> {
    match value {
        Value::Object(map) => Some(map.iter().map(|(name, value)| (name.clone(), value)).collect()),
        Value::Array(list) => {
            let name = |value: &Value| {
                let id = value.get("id").or_else(|| value.get("prefix")).and_then(Value::as_str);
                id.map(|id| format!("[{id}]"))
            };
            list.iter().map(|value| Some((name(value)?, value))).collect()
        }
        _ => None,
    }
}
