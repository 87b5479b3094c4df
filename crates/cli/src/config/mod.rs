//! `config`: commands about the lists and settings.

mod apply;
mod change;
mod check;
mod diff;
mod history;
mod list_texts;
mod settle;
mod show;
mod status;
mod wait;

use clap::{Arg, ArgMatches, Command};
use vg_base::prelude::*;

use crate::session::Session;
use crate::{Error, Exit, Platform, System};

pub(crate) use apply::{author, author_arg};
pub(crate) use change::edit_plans;
pub(crate) use wait::WaitOptions;

/// Builds the command `config`.
pub(crate) fn command() -> Command {
    Command::new("config")
        .about("Checks, compares and changes the lists and settings")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(check::command())
        .subcommand(diff::command())
        .subcommand(apply::command())
        .subcommand(show::command())
        .subcommand(status::command())
        .subcommand(history::command())
        .subcommand(settle::command())
}

/// Runs a command under `config`.
pub(crate) async fn run<P: Platform, Y: System>(
    session: &mut Session<'_, '_, P, Y>,
    matches: &ArgMatches,
) -> Result<Exit, Error> {
    match matches.subcommand() {
        Some(("check", matches)) => check::run(session, matches),
        Some(("diff", matches)) => diff::run(session, matches).await,
        Some(("apply", matches)) => apply::run(session, matches).await,
        Some(("show", matches)) => show::run(session, matches).await,
        Some(("status", _)) => status::run(session).await,
        Some(("history", _)) => history::run(session).await,
        Some(("settle", matches)) => settle::run(session, matches).await,
        _ => Ok(Exit::Usage),
    }
}

/// Builds an option that takes a revision.
fn revision_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("REVISION")
        .value_parser(clap::value_parser!(u64))
        .help(help)
}

/// Returns the value of an option that takes a revision.
fn revision(matches: &ArgMatches, name: &str) -> Option<Revision> {
    matches.get_one::<u64>(name).copied().map(Revision)
}
