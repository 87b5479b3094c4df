//! `call`: sends a call and prints its answer.

use clap::{ArgMatches, Command};

use super::request::Ask;
use crate::session::Session;
use crate::{Error, Exit, Platform, System};

pub(super) fn command() -> Command {
    Command::new("call")
        .about("Sends a call to a queue and prints the whole answer")
        .args(Ask::args())
}

pub(super) async fn run<P: Platform, Y: System>(
    session: &mut Session<'_, '_, P, Y>,
    matches: &ArgMatches,
) -> Result<Exit, Error> {
    let ask = Ask::work(session, matches, "calls")?;
    let reply = ask.send(session).await?;
    session.print(&reply.body)?;
    if reply.status.is_success() {
        return Ok(Exit::Success);
    }
    session.note(&format!("the endpoint answered with status {}", reply.status.as_u16()))?;
    Ok(Exit::Failed)
}
