//! Parses the command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use lexopt::prelude::*;

use crate::error::CliError;

/// Where one of the two bundles of a comparison is read from.
#[derive(Debug)]
pub enum BundleSource {
    /// A bundle file.
    File(PathBuf),
    /// The accepted bundle, from the object API at this address.
    Accepted(SocketAddr),
}

/// The full help text.
pub const HELP: &str = "\
leadstage: the operators' command

Usage:
  leadstage bundle check FILE
  leadstage bundle sign FILE --key KEYFILE --operator NAME --envelope OUT
  leadstage bundle roll-out ENVELOPE --platform IP:PORT [--operator NAME]
  leadstage bundle show --platform IP:PORT
  leadstage bundle diff OLD [NEW] [--platform IP:PORT]
  leadstage keys new --out FILE
  leadstage status --node IP:PORT [--node IP:PORT ...]
  leadstage explain ID --node IP:PORT [--node IP:PORT ...]
  leadstage explain ID --logs FILE [--logs FILE ...]
  leadstage report burn --node IP:PORT [--node IP:PORT ...] [--plot FILE.svg]
  leadstage report losses FILE [FILE ...] [--plot FILE.svg]
  leadstage report fleet FILE [FILE ...] [--plot FILE.svg]

  --format text|json   how to print (text by default)
  --node IP:PORT       a node's admin port; give each node of the fleet
  --logs FILE          a gateway node's log, named after the node
  --platform IP:PORT   the platform's object API
  --help, --version

bundle check      reads a bundle and lists every mistake with its path
bundle sign       adds an operator's sign-off to an envelope
bundle roll-out   offers the envelope; exactly one bundle of a number is accepted
bundle show       prints the accepted bundle, who signed it and who rolled it out
bundle diff       compares two bundles, or one with the accepted one
keys new          writes a signing key to FILE and prints the public key
status            nodes, bundle, pools and leads, engines, queues, leaving upstreams
explain           what was decided for a request, by the id in X-Request-Id; with --logs,
                  by the id of a gateway's request, from the logs of all nodes
report burn       how fast the error budgets of the service levels are used up
report losses     what became of a gateway's streams, by cause and moment, and where their
                  time went, from the logs of all nodes
report fleet      how long changes took to become known to all gateway nodes, and what nodes
                  sent to each other, from the logs of all nodes

Exit codes: 0 done, 1 failure, 2 wrong arguments or a wrong file,
3 the roll-out was overtaken by another one, 4 the roll-out's outcome is not known.
";

/// The lines of the help text about the command that starts with `positional`, or the full text if there are
/// none.
fn help_text(positional: &[&str]) -> String {
    let command = positional.join(" ");
    let usage = format!("leadstage {command}");
    let belongs_to_command =
        |line: &&str| line.trim_start().starts_with(&usage) || line.starts_with(&command);
    let lines: Vec<&str> = HELP.lines().filter(belongs_to_command).collect();
    if positional.is_empty() || lines.is_empty() {
        return HELP.to_owned();
    }
    format!("{}\n\nSee `leadstage --help` for the options and exit codes.\n", lines.join("\n"))
}

/// Output format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// Human-readable text.
    #[default]
    Text,
    /// JSON.
    Json,
}

/// A parsed command.
#[derive(Debug)]
pub enum Command {
    /// Print this text.
    Print(String),
    /// Check a bundle file.
    Check(PathBuf),
    /// Sign a bundle file.
    Sign {
        /// The bundle file.
        bundle: PathBuf,
        /// The file with the signing key.
        key: PathBuf,
        /// Name of the signing operator.
        operator: String,
        /// The envelope file that receives the signature; created if absent.
        envelope: PathBuf,
    },
    /// Roll out an envelope.
    RollOut {
        /// The envelope file.
        envelope: PathBuf,
        /// Address of the object API.
        platform: SocketAddr,
        /// Name of the operator who rolls it out, if not the first signer.
        operator: Option<String>,
    },
    /// Show the accepted bundle.
    Show(SocketAddr),
    /// Compare two bundles.
    Diff(BundleSource, BundleSource),
    /// Create a signing key in this file.
    NewKey(PathBuf),
    /// Show the status of nodes.
    Status(Vec<SocketAddr>),
    /// Show the decisions about the request with this ID, from the nodes' admin ports.
    Explain(String, Vec<SocketAddr>),
    /// Show the log lines about the gateway request with this ID.
    ExplainLogs(String, Vec<PathBuf>),
    /// Report the outcomes of a gateway's streams from logs, with an optional plot file.
    Losses(Vec<PathBuf>, Option<PathBuf>),
    /// Report how changes propagate among a gateway's nodes from logs, with an optional plot file.
    Fleet(Vec<PathBuf>, Option<PathBuf>),
    /// Report the burn rate of the error budgets, with an optional plot file.
    Burn(Vec<SocketAddr>, Option<PathBuf>),
}

#[derive(Default)]
struct Options {
    positional: Vec<String>,
    nodes: Vec<SocketAddr>,
    logs: Vec<PathBuf>,
    platform: Option<SocketAddr>,
    key: Option<PathBuf>,
    out: Option<PathBuf>,
    envelope: Option<PathBuf>,
    plot: Option<PathBuf>,
    operator: Option<String>,
    format: Format,
    print: Option<String>,
    help: bool,
}

/// Parses the command line.
pub fn parse(parser: lexopt::Parser) -> Result<(Command, Format), CliError> {
    let options = parse_options(parser)?;
    let format = options.format;
    Ok((build_command(options)?, format))
}

fn parse_options(mut args: lexopt::Parser) -> Result<Options, CliError> {
    let mut options = Options::default();
    while let Some(arg) = args.next()? {
        match arg {
            Value(argument) => options.positional.push(argument.string()?),
            Long("node") => options.nodes.push(args.value()?.parse()?),
            Long("logs") => options.logs.push(args.value()?.into()),
            Long("platform") => options.platform = Some(args.value()?.parse()?),
            Long("key") => options.key = Some(args.value()?.into()),
            Long("out") => options.out = Some(args.value()?.into()),
            Long("envelope") => options.envelope = Some(args.value()?.into()),
            Long("plot") => options.plot = Some(args.value()?.into()),
            Long("operator") => options.operator = Some(args.value()?.string()?),
            Long("format") => {
                options.format = match args.value()?.string()?.as_str() {
                    "text" => Format::Text,
                    "json" => Format::Json,
                    other => {
                        return Err(
                            lexopt::Error::from(format!("--format {other}: must be text or json")).into()
                        );
                    }
                }
            }
            Long("help") | Short('h') => options.help = true,
            Long("version") => options.print = Some(format!("leadstage {}\n", env!("CARGO_PKG_VERSION"))),
            _ => return Err(arg.unexpected().into()),
        }
    }
    Ok(options)
}

fn build_command(options: Options) -> Result<Command, CliError> {
    if let Some(text) = options.print {
        return Ok(Command::Print(text));
    }
    let positional: Vec<&str> = options.positional.iter().map(String::as_str).collect();
    if options.help {
        return Ok(Command::Print(help_text(&positional)));
    }
    let platform = || options.platform.ok_or(CliError::Missing("--platform IP:PORT"));
    let nodes = || match options.nodes.is_empty() {
        true => Err(CliError::Missing("--node IP:PORT")),
        false => Ok(options.nodes.clone()),
    };
    match positional[..] {
        ["bundle", "check", file] => Ok(Command::Check(file.into())),
        ["bundle", "sign", file] => Ok(Command::Sign {
            bundle: file.into(),
            key: options.key.ok_or(CliError::Missing("--key KEYFILE"))?,
            operator: options.operator.ok_or(CliError::Missing("--operator NAME"))?,
            envelope: options.envelope.ok_or(CliError::Missing("--envelope OUT"))?,
        }),
        ["bundle", "roll-out", envelope] => Ok(Command::RollOut {
            envelope: envelope.into(),
            platform: platform()?,
            operator: options.operator,
        }),
        ["bundle", "show"] => Ok(Command::Show(platform()?)),
        ["bundle", "diff", old, new] => {
            Ok(Command::Diff(BundleSource::File(old.into()), BundleSource::File(new.into())))
        }
        ["bundle", "diff", new] => {
            Ok(Command::Diff(BundleSource::Accepted(platform()?), BundleSource::File(new.into())))
        }
        ["keys", "new"] => Ok(Command::NewKey(options.out.ok_or(CliError::Missing("--out FILE"))?)),
        ["status"] => Ok(Command::Status(nodes()?)),
        ["explain", id] if !options.logs.is_empty() => {
            Ok(Command::ExplainLogs(id.to_owned(), options.logs.clone()))
        }
        ["explain", id] => Ok(Command::Explain(id.to_owned(), nodes()?)),
        ["report", "losses", ref files @ ..] => {
            Ok(Command::Losses(log_files(&options.logs, files)?, options.plot.clone()))
        }
        ["report", "fleet", ref files @ ..] => {
            Ok(Command::Fleet(log_files(&options.logs, files)?, options.plot.clone()))
        }
        ["report", "burn"] => Ok(Command::Burn(nodes()?, options.plot.clone())),
        [] => Err(CliError::Missing("a command")),
        _ => Err(lexopt::Error::from(format!("unknown command: {}", positional.join(" "))).into()),
    }
}

/// Collects the log files named by `--logs` and as positional arguments; fails if there are none.
fn log_files(named: &[PathBuf], files: &[&str]) -> Result<Vec<PathBuf>, CliError> {
    let logs: Vec<PathBuf> = named.iter().cloned().chain(files.iter().map(PathBuf::from)).collect();
    if logs.is_empty() { Err(CliError::Missing("FILE")) } else { Ok(logs) }
}
