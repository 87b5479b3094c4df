//! `key`: commands about callers' keys.

mod create;
mod digest;
mod grant;

use clap::{ArgMatches, Command};

use crate::session::Session;
use crate::{Error, Exit, Platform, System};

/// Builds the command `key`.
pub(crate) fn command() -> Command {
    Command::new("key")
        .about("Creates, grants and withdraws callers' keys, and prints their digests")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(create::command())
        .subcommand(digest::command())
        .subcommand(grant::grant_command())
        .subcommand(grant::withdraw_command())
}

/// Runs a command under `key`.
pub(crate) async fn run<P: Platform, Y: System>(
    session: &mut Session<'_, '_, P, Y>,
    matches: &ArgMatches,
) -> Result<Exit, Error> {
    match matches.subcommand() {
        Some(("create", _)) => create::run(session),
        Some(("digest", _)) => digest::run(session),
        Some(("grant", matches)) => grant::run_grant(session, matches).await,
        Some(("withdraw", matches)) => grant::run_withdraw(session, matches).await,
        _ => Ok(Exit::Usage),
    }
}
