//! `timeline`: merges the events of all processes into one timeline.

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
pub(crate) use line::Timeline;
pub(crate) use missing::Missing;

/// Builds the command `timeline`.
pub(crate) fn command() -> Command {
    let option = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_name("VALUE").help(help)
    };
    Command::new("timeline")
        .about("Prints the events of all processes, causes before their effects")
        .arg(option("request", "Only events of this request"))
        .arg(option("team", "Only events of this team"))
        .arg(option("host", "Only events of this host or entry host"))
        .arg(option("revision", "Only events of this revision"))
        .arg(
            Arg::new("html")
                .long("html")
                .action(ArgAction::SetTrue)
                .help("Print a self-contained HTML page"),
        )
        .arg(
            Arg::new("windows")
                .long("windows")
                .value_name("FILES")
                .num_args(1..)
                .value_parser(value_parser!(PathBuf))
                .help("Read saved answers of /v1/events instead of asking entry hosts"),
        )
}

/// Runs the command `timeline`.
pub(crate) async fn run<P: Platform, Y: System>(
    session: &mut Session<'_, '_, P, Y>,
    matches: &ArgMatches,
) -> Result<Exit, Error> {
    let filter = Filter::read(matches);
    let (windows, missing) = match matches.get_many::<PathBuf>("windows") {
        Some(paths) => (read_windows(session, paths)?, Vec::new()),
        None => query_windows(session).await?,
    };
    let timeline = Timeline::new(windows, missing, &filter);
    if matches.get_flag("html") {
        session.print_bytes(html::render_page(&timeline).as_bytes())?;
    } else {
        session.print_report(&timeline)?;
    }
    Ok(Exit::Success)
}

/// Reads saved windows of events from files.
fn read_windows<'a, P: Platform, Y: System>(
    session: &Session<'_, '_, P, Y>,
    paths: impl Iterator<Item = &'a PathBuf>,
) -> Result<Vec<Window>, Error> {
    let parse = |path: &PathBuf| {
        let text = session.read_file(path)?;
        serde_json::from_str(&text).map_err(|e| {
            let message = format!("{} is not an answer of /v1/events: {e}", path.display());
            Error::usage(message)
        })
    };
    paths.map(parse).collect()
}

/// Asks the entry hosts for their events, and notes those that gave none.
async fn query_windows<P: Platform, Y: System>(
    session: &Session<'_, '_, P, Y>,
) -> Result<(Vec<Window>, Vec<Missing>), Error> {
    let mut nodes = session.nodes()?;
    let statuses = nodes.query_statuses().await;
    let answers = nodes.query_events().await;
    let mut windows = Vec::new();
    let mut missing = Vec::new();
    for answer in answers {
        match answer.answer {
            Ok(window) => windows.push(window),
            Err(reason) => missing.push(Missing::process(answer.addr.to_string(), reason)),
        }
    }
    missing.extend(missing::missing_nodes(&windows, &statuses));
    Ok((windows, missing))
}
