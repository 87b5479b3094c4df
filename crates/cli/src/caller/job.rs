//! Commands about jobs.

use clap::{Arg, ArgMatches, Command};
use http::Method;
use serde::Serialize;
use serde_json::{Map, Value};
use vg_base::prelude::*;
use vg_net::Reply;

use super::request::Ask;
use crate::options::time;
use crate::output::{Report, Style, Table};
use crate::session::Session;
use crate::{Error, Exit, Platform, System};

/// Longest time that one request waits for a job to end.
const WAIT_ROUND: Duration = Duration::from_secs(20);

/// Longest wait for a job to end unless told otherwise.
const DEFAULT_WAIT: Duration = Duration::from_secs(10 * 60);

/// Pause before a job is asked about again, in case the answer came at once.
const PAUSE: Duration = Duration::from_millis(100);

/// States in which nothing more happens to a job.
const FINAL: [&str; 4] = ["done", "failed", "cancelled", "unknown"];

pub(super) fn command() -> Command {
    let id = || Arg::new("id").value_name("ID").required(true).help("The job's id");
    Command::new("job")
        .about("Submits jobs and asks about them")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("submit")
                .about("Submits a job; what is accepted is durable")
                .args(Ask::args()),
        )
        .subcommand(Command::new("show").about("Prints a job's state").arg(id()))
        .subcommand(Command::new("wait").about("Waits until a job has ended").arg(id()).arg(
            Arg::new("for").long("for").value_name("TIME").help("Longest wait [default: 10m]"),
        ))
        .subcommand(Command::new("cancel").about("Cancels a job").arg(id()))
}

pub(super) async fn run<P: Platform, Y: System>(
    session: &mut Session<'_, '_, P, Y>,
    matches: &ArgMatches,
) -> Result<Exit, Error> {
    match matches.subcommand() {
        Some(("submit", matches)) => {
            let ask = Ask::work(session, matches, "jobs")?;
            let job = answer(&ask.send(session).await?)?;
            session.show(&job)?;
            Ok(Exit::Success)
        }
        Some(("show", matches)) => one(session, Method::GET, matches).await,
        Some(("cancel", matches)) => one(session, Method::DELETE, matches).await,
        Some(("wait", matches)) => wait(session, matches).await,
        _ => Ok(Exit::Usage),
    }
}

/// What the system says about a job.
#[derive(Debug, Serialize)]
#[serde(transparent)]
struct JobView(Map<String, Value>);

impl JobView {
    fn state(&self) -> String {
        match self.0.get("state") {
            Some(Value::String(text)) => text.to_lowercase(),
            // A state with details is an object with its name as the only key.
            Some(Value::Object(state)) => state.keys().map(|key| key.to_lowercase()).collect(),
            _ => String::new(),
        }
    }

    fn has_ended(&self) -> bool {
        let state = self.state();
        FINAL.iter().any(|each| state.starts_with(each))
    }
}

impl Report for JobView {
    fn text(&self, style: Style) -> String {
        let mut table = Table::new(&["field", "value"]);
        for (name, value) in &self.0 {
            let value = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
            table.row([name.clone(), value]);
        }
        table.text(style)
    }
}

async fn one<P: Platform, Y: System>(
    session: &mut Session<'_, '_, P, Y>,
    method: Method,
    matches: &ArgMatches,
) -> Result<Exit, Error> {
    let path = format!("/v1/jobs/{}", id(matches)?);
    let ask = Ask::new(method, path, session.options.timeout);
    let job = answer(&ask.send(session).await?)?;
    session.show(&job)?;
    Ok(Exit::Success)
}

async fn wait<P: Platform, Y: System>(
    session: &mut Session<'_, '_, P, Y>,
    matches: &ArgMatches,
) -> Result<Exit, Error> {
    let id = id(matches)?;
    let given = matches.get_one::<String>("for");
    let most = given.map(|text| time("for", text)).transpose()?.unwrap_or(DEFAULT_WAIT);
    let start = Instant::now();
    loop {
        let left = most.saturating_sub(start.elapsed());
        let round = left.min(WAIT_ROUND);
        let path = format!("/v1/jobs/{id}?wait={}", round.as_secs());
        let ask = Ask::new(Method::GET, path, round + session.options.timeout);
        let job = answer(&ask.send(session).await?)?;
        if job.has_ended() {
            let exit = if job.state().starts_with("done") { Exit::Success } else { Exit::Failed };
            session.show(&job)?;
            return Ok(exit);
        }
        if left <= PAUSE {
            session.show(&job)?;
            let advice = format!("the job has not ended; go on with `verbenagap job wait {id}`");
            return Err(Error::failed(advice));
        }
        tokio::time::sleep(PAUSE).await;
    }
}

fn id(matches: &ArgMatches) -> Result<JobId, Error> {
    let text = matches.get_one::<String>("id").map(String::as_str).unwrap_or_default();
    text.parse().map_err(|e| Error::usage(format!("ID: {e}")))
}

fn answer(reply: &Reply) -> Result<JobView, Error> {
    if !reply.status.is_success() {
        let status = reply.status.as_u16();
        return Err(Error::failed(format!("answered {status}; is --entry an entry host?")));
    }
    serde_json::from_slice(&reply.body).map(JobView).map_err(|e| {
        Error::failed(format!("malformed answer: {e}; ask with `verbenagap job show`"))
    })
}
