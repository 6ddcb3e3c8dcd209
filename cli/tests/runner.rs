//! All tests of the package, in one program.

mod test_commands;
mod test_explain_logs;
mod test_fleet;
mod test_losses;
