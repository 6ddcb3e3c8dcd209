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
mod interface;
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
mod settings_file;
mod shared;
mod signals;
mod status_report;
mod stop;
mod traffic;
mod upstream_client;
mod vm_watch;
mod wire;

use std::io::Write;
use std::io::stderr;
use std::io::stdout;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use lexopt::prelude::*;
use log::error;
use log::info;
use log::warn;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;
use tokio::sync::mpsc;

use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::settings_file::NodeSettings;
use crate::settings_file::SettingsError;
use crate::shared::Shared;
use crate::signals::Handlers;
use crate::signals::Signals;

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

A start waits up to 2 s for a settings file that is missing or has mistakes.
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
    #[display("{_0}")]
    Settings(SettingsError),
    #[display("cannot handle signals: {_0}")]
    #[from(skip)]
    Signals(std::io::Error),
    #[display("cannot start logging: {_0}")]
    #[from(skip)]
    Logging(std::io::Error),
}

impl StartError {
    fn exit_code(&self) -> u8 {
        match self {
            StartError::Arguments(_) | StartError::NoConfig | StartError::Settings(_) => EXIT_USAGE,
            StartError::Signals(_) | StartError::Logging(_) => EXIT_FAILURE,
        }
    }
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
    Run { config: PathBuf },
    Check { config: PathBuf },
    Print(String),
}

fn main() -> ExitCode {
    execute().unwrap_or_else(|err| {
        tell(stderr(), &format!("leadstaged: {err}\n"));
        if let StartError::Settings(SettingsError::Invalid { problems }) = &err {
            problems.iter().for_each(|problem| tell(stderr(), &format!("  {problem}\n")));
        }
        ExitCode::from(err.exit_code())
    })
}

/// Writes `text`. A failed write is ignored: a run and its exit code do not depend on a reader.
fn tell(mut out: impl Write, text: &str) {
    let _ = out.write_all(text.as_bytes());
}

fn execute() -> Result<ExitCode, StartError> {
    match command()? {
        Command::Print(text) => tell(stdout(), &text),
        Command::Check { config } => {
            settings_file::read(&config)?;
            tell(stdout(), "the settings are right\n");
        }
        Command::Run { config } => return run(&config),
    }
    Ok(ExitCode::SUCCESS)
}

/// Runs a node until a planned stop has ended or it has failed.
fn run(config: &Path) -> Result<ExitCode, StartError> {
    let runtime = Builder::new_current_thread().enable_all().build().map_err(StartError::Signals)?;
    let context = runtime.enter();
    // Precedes everything that takes time: until then each signal ends the process.
    let mut handlers = Handlers::install().map_err(StartError::Signals)?;
    let on_wait = |err: &SettingsError| {
        tell(stderr(), &format!("leadstaged: {err}; waiting for a whole settings file\n"));
    };
    let read = runtime.block_on(async {
        tokio::select! {
            biased;
            () = handlers.stop_requested() => None,
            read = settings_file::read_when_whole(config, on_wait) => Some(read),
        }
    });
    let Some((file, waited)) = read.transpose()? else {
        tell(stderr(), "leadstaged: stopped before the settings were read\n");
        return Ok(ExitCode::SUCCESS);
    };
    start_logging(&file.settings).map_err(StartError::Logging)?;
    abort_on_control_panic();
    if !waited.is_zero() {
        warn!(event = "settings_late", waited_ms = waited.as_millis() as u64; "the settings file was not whole at first");
    }
    let result = match file.settings {
        NodeSettings::Gateway(settings) => {
            let signals = handlers.dispatch();
            drop(context);
            gateway::run(&runtime, &signals, *settings, file.path, file.text).map_err(Into::into)
        }
        NodeSettings::Completions(settings) => {
            let signals = handlers.without_reload().dispatch();
            drop(context);
            run_completions(&runtime, &signals, settings)
        }
    };
    let code = match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            error!(event = "failed", reason:% = err; "leadstaged failed");
            ExitCode::from(EXIT_FAILURE)
        }
    };
    gateway::flush_logs();
    Ok(code)
}

/// A node with the gateway interface logs to standard output, which its platform collects; with the other
/// interface it logs to standard error.
fn start_logging(settings: &NodeSettings) -> std::io::Result<()> {
    if matches!(settings, NodeSettings::Gateway(_)) {
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
    let config = path.ok_or(StartError::NoConfig)?;
    Ok(if check_only { Command::Check { config } } else { Command::Run { config } })
}

fn run_completions(
    runtime: &Runtime,
    signals: &Signals,
    settings: Settings,
) -> Result<(), Box<dyn std::error::Error>> {
    let (tx, rx) = mpsc::unbounded_channel();
    let metrics = Metrics::new()?;
    let shared = Arc::new(Shared::new(settings.vm.clone(), settings.hall.clone(), tx, metrics));
    info!(event = "start", vm = &*settings.vm, hall = &*settings.hall, listen:% = settings.listen; "leadstaged starts");
    spawn("traffic", settings.clone(), shared.clone(), traffic::serve);
    spawn("admin", settings.clone(), shared.clone(), admin::serve);
    control::run(runtime, signals, settings, shared, rx)?;
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
