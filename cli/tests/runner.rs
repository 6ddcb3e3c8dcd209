//! All integration tests of the package, in one test binary.

mod test_commands;
mod test_explain_logs;
mod test_fleet;
mod test_losses;
