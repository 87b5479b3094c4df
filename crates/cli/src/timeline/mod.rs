//! `timeline`: one time line of the events of all processes.

mod filter;
mod html;
mod line;
mod missing;

use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use vg_events::Window;

use crate::session::Session;
use crate::{Error, Exit, Platform, System};

pub(crate) use filter::Filter;
pub(crate) use line::TimeLine;
pub(crate) use missing::Missing;

/// Makes the command.
pub(crate) fn command() -> Command {
    let option = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_name("VALUE").help(help)
    };
    Command::new("timeline")
        .about("Prints the events of all processes in the order of cause and effect")
        .arg(option("request", "Only events of this request"))
        .arg(option("team", "Only events of this team"))
        .arg(option("host", "Only events of this host or entry host"))
        .arg(option("revision", "Only events of this revision"))
        .arg(
            Arg::new("html")
                .long("html")
                .action(ArgAction::SetTrue)
                .help("Print one HTML page that needs nothing else"),
        )
        .arg(
            Arg::new("windows")
                .long("windows")
                .value_name("FILES")
                .num_args(1..)
                .value_parser(value_parser!(PathBuf))
                .help("Take saved answers of /v1/events in place of asking"),
        )
}

/// Runs the command.
pub(crate) async fn run<P: Platform, Y: System>(
    session: &mut Session<'_, '_, P, Y>,
    matches: &ArgMatches,
) -> Result<Exit, Error> {
    let filter = Filter::read(matches);
    let (windows, missing) = match matches.get_many::<PathBuf>("windows") {
        Some(paths) => (saved(session, paths)?, Vec::new()),
        None => asked(session).await?,
    };
    let line = TimeLine::new(windows, missing, &filter);
    if matches.get_flag("html") {
        session.print(html::page(&line).as_bytes())?;
    } else {
        session.show(&line)?;
    }
    Ok(Exit::Success)
}

fn saved<'a, P: Platform, Y: System>(
    session: &Session<'_, '_, P, Y>,
    paths: impl Iterator<Item = &'a PathBuf>,
) -> Result<Vec<Window>, Error> {
    let parse = |path: &PathBuf| {
        let text = session.file(path)?;
        serde_json::from_str(&text).map_err(|e| {
            let message = format!("{} is no answer of /v1/events: {e}", path.display());
            Error::usage(message)
        })
    };
    paths.map(parse).collect()
}

async fn asked<P: Platform, Y: System>(
    session: &Session<'_, '_, P, Y>,
) -> Result<(Vec<Window>, Vec<Missing>), Error> {
    let mut nodes = session.nodes()?;
    let statuses = nodes.survey().await;
    let views = nodes.windows().await;
    let mut windows = Vec::new();
    let mut missing = Vec::new();
    for view in views {
        match view.answer {
            Ok(window) => windows.push(window),
            Err(reason) => missing.push(Missing::process(view.addr.to_string(), reason)),
        }
    }
    missing.extend(missing::not_asked(&windows, &statuses));
    Ok((windows, missing))
}
