//! `job`: submits, shows, awaits and cancels jobs.

use clap::{Arg, ArgMatches, Command};
use http::Method;
use serde::Serialize;
use serde_json::{Map, Value};
use vg_base::prelude::*;
use vg_net::Reply;

use super::request::CallerRequest;
use crate::options::parse_duration;
use crate::output::{Report, Style, Table};
use crate::session::Session;
use crate::{Error, Exit, Platform, System};

/// Longest time that one request asks the entry host to wait for a job to finish.
const MAX_REQUEST_WAIT: Duration = Duration::from_secs(20);

/// Default of `--for`: the longest wait for a job to finish.
const DEFAULT_WAIT: Duration = Duration::from_secs(10 * 60);

/// Pause between two requests about a job, in case an entry host answers at once.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Prefixes of the final states of a job, in lower case.
const FINAL_STATES: [&str; 4] = ["done", "failed", "cancelled", "unknown"];

pub(super) fn command() -> Command {
    let id = || Arg::new("id").value_name("ID").required(true).help("The job's id");
    Command::new("job")
        .about("Submits, shows, awaits and cancels jobs")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("submit")
                .about("Submits a job; a job that is accepted is durable")
                .args(CallerRequest::args()),
        )
        .subcommand(Command::new("show").about("Prints a job's state").arg(id()))
        .subcommand(Command::new("wait").about("Waits until a job has finished").arg(id()).arg(
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
            let request = CallerRequest::for_queue(session, matches, "jobs")?;
            let job = parse_job(&request.send(session).await?)?;
            session.print_report(&job)?;
            Ok(Exit::Success)
        }
        Some(("show", matches)) => send_request(session, Method::GET, matches).await,
        Some(("cancel", matches)) => send_request(session, Method::DELETE, matches).await,
        Some(("wait", matches)) => wait(session, matches).await,
        _ => Ok(Exit::Usage),
    }
}

/// The fields of a job in the answer of an entry host.
#[derive(Debug, Serialize)]
#[serde(transparent)]
struct JobView(Map<String, Value>);

impl JobView {
    fn state(&self) -> String {
        match self.0.get("state") {
            Some(Value::String(text)) => text.to_lowercase(),
            // A state with details is an object whose only key is the name of the state.
            Some(Value::Object(state)) => state.keys().map(|key| key.to_lowercase()).collect(),
            _ => String::new(),
        }
    }

    fn has_finished(&self) -> bool {
        let state = self.state();
        FINAL_STATES.iter().any(|each| state.starts_with(each))
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

/// Sends one request about the job and prints the answer.
async fn send_request<P: Platform, Y: System>(
    session: &mut Session<'_, '_, P, Y>,
    method: Method,
    matches: &ArgMatches,
) -> Result<Exit, Error> {
    let path = format!("/v1/jobs/{}", id(matches)?);
    let request = CallerRequest::new(method, path, session.options.timeout);
    let job = parse_job(&request.send(session).await?)?;
    session.print_report(&job)?;
    Ok(Exit::Success)
}

/// Asks about the job until it has finished or the time limit is reached.
async fn wait<P: Platform, Y: System>(
    session: &mut Session<'_, '_, P, Y>,
    matches: &ArgMatches,
) -> Result<Exit, Error> {
    let id = id(matches)?;
    let given = matches.get_one::<String>("for");
    let limit = given.map(|text| parse_duration("for", text)).transpose()?.unwrap_or(DEFAULT_WAIT);
    let start = Instant::now();
    loop {
        let remaining = limit.saturating_sub(start.elapsed());
        let request_wait = remaining.min(MAX_REQUEST_WAIT);
        let path = format!("/v1/jobs/{id}?wait={}", request_wait.as_secs());
        let request = CallerRequest::new(Method::GET, path, request_wait + session.options.timeout);
        let job = parse_job(&request.send(session).await?)?;
        if job.has_finished() {
            let exit = if job.state().starts_with("done") { Exit::Success } else { Exit::Failed };
            session.print_report(&job)?;
            return Ok(exit);
        }
        if remaining <= POLL_INTERVAL {
            session.print_report(&job)?;
            let message =
                format!("the job has not finished; continue with `verbenagap job wait {id}`");
            return Err(Error::failed(message));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn id(matches: &ArgMatches) -> Result<JobId, Error> {
    let text = matches.get_one::<String>("id").map(String::as_str).unwrap_or_default();
    text.parse().map_err(|e| Error::usage(format!("ID: {e}")))
}

fn parse_job(reply: &Reply) -> Result<JobView, Error> {
    if !reply.status.is_success() {
        let status = reply.status.as_u16();
        return Err(Error::failed(format!(
            "the answer has status {status}; check that --entry is an entry host"
        )));
    }
    serde_json::from_slice(&reply.body).map(JobView).map_err(|e| {
        Error::failed(format!(
            "malformed answer: {e}; ask about the job with `verbenagap job show`"
        ))
    })
}
