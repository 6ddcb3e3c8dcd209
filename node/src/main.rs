//! `leadstaged`: the entry process of leadstage, which runs on each VM.

mod admin;
mod bind_error;
mod bundle_fetch;
mod bundle_watch;
mod call;
mod chunk;
mod claim_driver;
mod clock;
mod control;
mod control_message;
mod decision_log;
mod engine_api;
mod engine_polls;
mod entry;
mod entry_generations;
mod filters;
mod framing;
mod gateway;
mod generation;
mod late_port;
mod leads;
mod listener;
mod locks;
mod membership_driver;
mod metrics;
mod orders;
mod peer_server;
mod peers;
mod platform;
mod readiness;
mod refusal;
mod settings;
mod shared;
mod status_report;
mod stop;
mod traffic;
mod upstream_client;
mod vm_watch;
mod wire;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use leadstage_lib::checked_yaml::Problem;
use lexopt::prelude::*;
use log::error;
use log::info;
use tokio::sync::mpsc;

use crate::gateway::SettingsFile;
use crate::gateway::settings::GatewaySettings;
use crate::gateway::settings::Interface;
use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::shared::Shared;

/// Exit code for invalid arguments or settings.
const EXIT_USAGE: u8 = 2;
/// Exit code for a failure at run time.
const EXIT_FAILURE: u8 = 1;

const HELP: &str = "\
leadstaged: the entry process of leadstage

Usage: leadstaged --config FILE [--check-config]

  --config FILE    the node's settings, YAML; see docs/CONFIG.md
  --check-config   check the settings and exit
  --help           this text
  --version        the version

Exit codes: 0 stopped as planned, 1 failure, 2 wrong arguments or settings.
Logs go to standard error; RUST_LOG sets their level (info by default).
";

#[derive(Debug, Display, Error, From)]
enum StartError {
    #[display("{_0}")]
    Arguments(lexopt::Error),
    #[display("--config FILE is missing")]
    #[from(skip)]
    NoConfig,
    #[display("{}: {source}", path.display())]
    #[from(skip)]
    Unreadable { path: PathBuf, source: std::io::Error },
    #[display("{} mistakes in the settings", problems.len())]
    #[from(skip)]
    Settings { problems: Vec<Problem> },
}

/// Aborts the process when the control thread panics. Otherwise the node would keep running without
/// control; the fleet handles the loss of a node better. A panic on a traffic thread ends only one
/// connection.
fn abort_on_control_panic() {
    let default_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        default_hook(panic);
        if std::thread::current().name() == Some("main") {
            error!(event = "failed", reason:% = panic; "control thread panicked");
            gateway::flush_logs();
            std::process::abort();
        }
        let thread = std::thread::current();
        error!(event = "panicked", thread = thread.name().unwrap_or(""), reason:% = panic; "a task panicked; its connection ends");
    }));
}

enum Command {
    Run(Settings),
    RunGateway(Box<GatewaySettings>, SettingsFile),
    Print(String),
}

fn main() -> ExitCode {
    let command = match command() {
        Ok(Command::Print(text)) => {
            print!("{text}");
            return ExitCode::SUCCESS;
        }
        Ok(command) => command,
        Err(err) => {
            eprintln!("leadstaged: {err}");
            if let StartError::Settings { problems } = &err {
                problems.iter().for_each(|problem| eprintln!("  {problem}"));
            }
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if let Err(err) = start_logging(&command) {
        eprintln!("leadstaged: cannot start logging: {err}");
        return ExitCode::from(EXIT_FAILURE);
    }
    abort_on_control_panic();
    let result = match command {
        Command::RunGateway(settings, file) => gateway::run(*settings, file).map_err(Into::into),
        Command::Run(settings) => run(settings),
        Command::Print(_) => Ok(()),
    };
    let code = match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            error!(event = "failed", reason:% = err; "leadstaged failed");
            ExitCode::from(EXIT_FAILURE)
        }
    };
    gateway::flush_logs();
    code
}

/// A node with the gateway interface logs to standard output, which its platform collects; with the other
/// interface it logs to standard error.
fn start_logging(command: &Command) -> std::io::Result<()> {
    if matches!(command, Command::RunGateway(..)) {
        return gateway::start_logging();
    }
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"))
        .format_timestamp_millis()
        .init();
    Ok(())
}

fn command() -> Result<Command, StartError> {
    let mut path = None;
    let mut check_only = false;
    let mut args = lexopt::Parser::from_env();
    while let Some(arg) = args.next()? {
        match arg {
            Long("config") => path = Some(PathBuf::from(args.value()?)),
            Long("check-config") => check_only = true,
            Long("help") | Short('h') => return Ok(Command::Print(HELP.to_owned())),
            Long("version") => {
                return Ok(Command::Print(format!("leadstaged {}\n", env!("CARGO_PKG_VERSION"))));
            }
            _ => return Err(arg.unexpected().into()),
        }
    }
    let path = path.ok_or(StartError::NoConfig)?;
    let yaml = std::fs::read_to_string(&path)
        .map_err(|source| StartError::Unreadable { path: path.clone(), source })?;
    let invalid_settings = |problems| StartError::Settings { problems };
    let command = match gateway::settings::interface_of(&yaml) {
        Interface::Gateway => {
            let settings = GatewaySettings::from_yaml(&yaml).map_err(invalid_settings)?;
            Command::RunGateway(Box::new(settings), SettingsFile { path, text: yaml })
        }
        Interface::Completions => Command::Run(Settings::from_yaml(&yaml).map_err(invalid_settings)?),
    };
    if check_only {
        return Ok(Command::Print("the settings are right\n".to_owned()));
    }
    Ok(command)
}

fn run(settings: Settings) -> Result<(), Box<dyn std::error::Error>> {
    let (tx, rx) = mpsc::unbounded_channel();
    let metrics = Metrics::new()?;
    let shared = Arc::new(Shared::new(settings.vm.clone(), settings.hall.clone(), tx, metrics));
    info!(event = "start", vm = &*settings.vm, hall = &*settings.hall, listen:% = settings.listen; "leadstaged starts");
    spawn("traffic", settings.clone(), shared.clone(), traffic::serve);
    spawn("admin", settings.clone(), shared.clone(), admin::serve);
    control::run(settings, shared, rx)?;
    Ok(())
}

/// Runs a server on its own thread. The process exits if the server fails.
fn spawn(
    name: &'static str,
    settings: Settings,
    shared: Arc<Shared>,
    serve: fn(&Settings, Arc<Shared>) -> std::io::Result<()>,
) {
    let thread = std::thread::Builder::new().name(name.to_owned());
    let run_server = move || {
        if let Err(err) = serve(&settings, shared) {
            error!(event = "failed", server = name, reason:% = err; "server failed");
            std::process::exit(i32::from(EXIT_FAILURE));
        }
    };
    if let Err(err) = thread.spawn(run_server) {
        error!(event = "failed", server = name, reason:% = err; "cannot spawn the server thread");
        std::process::exit(i32::from(EXIT_FAILURE));
    }
}
