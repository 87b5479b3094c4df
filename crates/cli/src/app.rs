//! The program's commands and how one is run.

use std::ffi::OsString;

use clap::error::ErrorKind;
use clap::{ArgMatches, Command};
use snafu::ResultExt;

use crate::error::StreamSnafu;
use crate::options::Options;
use crate::session::{Session, write_lines};
use crate::{
    Console, Error, Exit, ExtraCommand, Platform, System, caller, config, docs, key, timeline,
};

/// Makes the program's command with all subcommands.
pub fn command(extras: &[ExtraCommand]) -> Command {
    let command = Command::new("verbenagap")
        .about("Manages fleet capacity and maintenance")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .max_term_width(100)
        .subcommand(config::command())
        .subcommand(key::command())
        .subcommand(caller::call_command())
        .subcommand(caller::job_command())
        .subcommand(timeline::command())
        .subcommands(docs::commands());
    let extras = extras.iter().map(|extra| (extra.command)());
    Options::add(command.subcommands(extras))
}

/// Runs one command.
///
/// `args` starts with the program's name. Failures are written to standard
/// error; the exit status is returned.
pub fn run<P: Platform, Y: System>(
    args: impl IntoIterator<Item = OsString>,
    extras: &[ExtraCommand],
    platform: &P,
    system: &Y,
    console: &mut Console<'_>,
) -> Exit {
    let matches = match command(extras).try_get_matches_from(args) {
        Ok(matches) => matches,
        Err(error) => return refuse(&error, console),
    };
    if let Some(exit) = run_extra(&matches, extras, console) {
        return exit;
    }
    let done = dispatch(&matches, extras, platform, system, console);
    done.unwrap_or_else(|error| {
        // If standard error is gone, the exit status still tells.
        let _ = write_lines(console, &error.to_string());
        error.exit()
    })
}

fn run_extra(
    matches: &ArgMatches,
    extras: &[ExtraCommand],
    console: &mut Console<'_>,
) -> Option<Exit> {
    let (name, matches) = matches.subcommand()?;
    let extra = extras.iter().find(|extra| (extra.command)().get_name() == name)?;
    Some((extra.run)(matches, console))
}

fn dispatch<P: Platform, Y: System>(
    matches: &ArgMatches,
    extras: &[ExtraCommand],
    platform: &P,
    system: &Y,
    console: &mut Console<'_>,
) -> Result<Exit, Error> {
    let Some((name, matches)) = matches.subcommand() else { return Ok(Exit::Usage) };
    let options = Options::read(matches, system)?;
    let mut session = Session { platform, system, console, options };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.context(StreamSnafu)?;
    runtime.block_on(async {
        match name {
            "config" => config::run(&mut session, matches).await,
            "key" => key::run(&mut session, matches).await,
            "call" => caller::run_call(&mut session, matches).await,
            "job" => caller::run_job(&mut session, matches).await,
            "timeline" => timeline::run(&mut session, matches).await,
            _ => docs::run(&mut session, name, matches, command(extras)),
        }
    })
}

/// Shows help on standard output, and a faulty command line on standard error.
fn refuse(error: &clap::Error, console: &mut Console<'_>) -> Exit {
    let text = error.render();
    let asked = matches!(error.kind(), ErrorKind::DisplayHelp | ErrorKind::DisplayVersion);
    if asked {
        let _ = write!(console.out, "{text}");
        return Exit::Success;
    }
    let text = text.to_string();
    let lines: Vec<&str> = text.lines().filter(|line| !line.trim().is_empty()).collect();
    let text = lines.join("\n");
    let _ = write_lines(console, text.strip_prefix("error: ").unwrap_or(&text));
    Exit::Usage
}
