//! Commands of callers.

mod call;
mod job;
mod problem;
mod request;

use clap::{ArgMatches, Command};

use crate::session::Session;
use crate::{Error, Exit, Platform, System};

/// Builds the command `call`.
pub(crate) fn call_command() -> Command {
    call::command()
}

/// Builds the command `job`.
pub(crate) fn job_command() -> Command {
    job::command()
}

/// Runs the command `call`.
pub(crate) async fn run_call<P: Platform, Y: System>(
    session: &mut Session<'_, '_, P, Y>,
    matches: &ArgMatches,
) -> Result<Exit, Error> {
    call::run(session, matches).await
}

/// Runs a command under `job`.
pub(crate) async fn run_job<P: Platform, Y: System>(
    session: &mut Session<'_, '_, P, Y>,
    matches: &ArgMatches,
) -> Result<Exit, Error> {
    job::run(session, matches).await
}
