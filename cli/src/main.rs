//! `leadstage`: the command-line tool for operators.

mod args;
mod bundle_command;
mod burn_command;
mod error;
mod explain_logs;
mod fleet_command;
mod http;
mod keys_command;
mod late_streams;
mod log_lines;
mod losses_command;
mod organisation_losses;
mod peer_traffic;
mod plot;
mod propagation;
mod status_command;
mod store_calls;
mod table;

use std::process::ExitCode;

use crate::args::Command;
use crate::args::Format;
use crate::error::CliError;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    match run() {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(err) => {
            eprintln!("leadstage: {err}");
            if let CliError::InvalidBundle(problems) = &err {
                problems.iter().for_each(|problem| eprintln!("  {problem}"));
            }
            if let Some(hint) = err.hint() {
                eprintln!("hint: {hint}");
            }
            ExitCode::from(err.exit_code())
        }
    }
}

#[tokio::main(flavor = "current_thread")]
async fn run() -> Result<String, CliError> {
    let (command, format) = args::parse(lexopt::Parser::from_env())?;
    execute(command, format).await
}

async fn execute(command: Command, format: Format) -> Result<String, CliError> {
    match command {
        Command::Print(text) => Ok(text),
        Command::Check(path) => bundle_command::check(&path, format),
        Command::Sign { bundle, key, operator, envelope } => {
            bundle_command::sign_off(&bundle, &key, &operator, &envelope, format)
        }
        Command::RollOut { envelope, platform, operator } => {
            bundle_command::roll_out(&envelope, platform, operator.as_deref(), format).await
        }
        Command::Show(platform) => bundle_command::show(platform, format).await,
        Command::Diff(old, new) => bundle_command::diff(old, new, format).await,
        Command::NewKey(out) => keys_command::create_key(&out, format),
        Command::Status(nodes) => status_command::show_status(&nodes, format).await,
        Command::Explain(id, nodes) => status_command::explain(&id, &nodes, format).await,
        Command::ExplainLogs(id, files) => explain_logs::explain(&id, &files, format),
        Command::Losses(files, plot) => losses_command::report_losses(&files, plot.as_deref(), format),
        Command::Fleet(files, plot) => fleet_command::report_fleet(&files, plot.as_deref(), format),
        Command::Burn(nodes, plot) => burn_command::report_burn(&nodes, plot.as_deref(), format).await,
    }
}
