//! `config apply`: stores both lists as the next revision.

use clap::{Arg, ArgMatches, Command};
use vg_base::prelude::*;

use super::change::Attempt;
use super::force::WaitOptions;
use super::pair::Pair;
use crate::session::Session;
use crate::{Error, Exit, Platform, System};

/// Most revisions that `--above` may skip, so that a slip of the fingers does
/// not use up all numbers.
const FARTHEST_ABOVE: u64 = 10_000;

/// Longest name of an author, in characters.
const AUTHOR_MAX_CHARS: usize = 64;

pub(super) fn command() -> Command {
    Command::new("apply")
        .about("Stores both lists as the next revision and waits until it is in force")
        .args(Pair::args())
        .arg(
            super::revision_arg("base", "The revision that was edited; 0 for the first lists")
                .required(true),
        )
        .arg(super::revision_arg(
            "above",
            "Become a revision later than this one, which the store has lost and entry hosts have",
        ))
        .arg(author_arg())
        .args(WaitOptions::args())
}

pub(super) async fn run<P: Platform, Y: System>(
    session: &mut Session<'_, '_, P, Y>,
    matches: &ArgMatches,
) -> Result<Exit, Error> {
    let base = super::revision(matches, "base").unwrap_or_default();
    let above = super::revision(matches, "above").unwrap_or_default();
    if above.get() > base.get().saturating_add(FARTHEST_ABOVE) {
        let message = format!("--above: at most {FARTHEST_ABOVE} revisions later than --base");
        return Err(Error::usage(message));
    }
    let attempt = Attempt {
        base,
        above,
        pair: Pair::read(session, matches)?,
        author: author(session, matches)?,
        wait: WaitOptions::read(matches)?,
    };
    attempt.run(session).await
}

/// Returns the option that names the author.
pub(crate) fn author_arg() -> Arg {
    Arg::new("author")
        .long("author")
        .value_name("NAME")
        .help("Who makes the change [default: the user's name]")
}

/// Returns the author of a change.
pub(crate) fn author<P: Platform, Y: System>(
    session: &Session<'_, '_, P, Y>,
    matches: &ArgMatches,
) -> Result<SmolStr, Error> {
    let given = matches.get_one::<String>("author").cloned();
    let name = given.or_else(|| session.system.var("USER"));
    let name = name.unwrap_or_else(|| "unknown".to_owned());
    if name.chars().count() > AUTHOR_MAX_CHARS || name.chars().any(char::is_control) {
        let message = format!("--author: at most {AUTHOR_MAX_CHARS} printable characters");
        return Err(Error::usage(message));
    }
    Ok(name.into())
}
