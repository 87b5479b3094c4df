//! `config apply`: stores both lists as the next revision.

use clap::{Arg, ArgMatches, Command};
use vg_base::prelude::*;

use super::change::ListsChange;
use super::list_texts::ListTexts;
use super::wait::WaitOptions;
use crate::session::Session;
use crate::{Error, Exit, Platform, System};

/// Number of revisions that `--above` may skip at most, so that a typing error does
/// not use up all revision numbers.
const MAX_SKIPPED_REVISIONS: u64 = 10_000;

/// Length limit of the name of an author, in characters.
const MAX_AUTHOR_CHARS: usize = 64;

pub(super) fn command() -> Command {
    Command::new("apply")
        .about("Stores both lists as the next revision and waits until it is in force")
        .args(ListTexts::args())
        .arg(
            super::revision_arg(
                "base",
                "The revision that the files were edited from; 0 for the first lists",
            )
            .required(true),
        )
        .arg(super::revision_arg(
            "above",
            "Store a revision later than this one, which entry hosts have although the store \
             shows an earlier one",
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
    if above.get() > base.get().saturating_add(MAX_SKIPPED_REVISIONS) {
        let message =
            format!("--above: at most {MAX_SKIPPED_REVISIONS} revisions later than --base");
        return Err(Error::usage(message));
    }
    let change = ListsChange {
        base,
        above,
        texts: ListTexts::read(session, matches)?,
        author: author(session, matches)?,
        wait: WaitOptions::read(matches)?,
    };
    change.run(session).await
}

/// Builds the option that names the author of a change.
pub(crate) fn author_arg() -> Arg {
    Arg::new("author")
        .long("author")
        .value_name("NAME")
        .help("Who makes the change [default: the user's name]")
}

/// Returns the author of a change: the option, or the user's name.
pub(crate) fn author<P: Platform, Y: System>(
    session: &Session<'_, '_, P, Y>,
    matches: &ArgMatches,
) -> Result<SmolStr, Error> {
    let given = matches.get_one::<String>("author").cloned();
    let name = given.or_else(|| session.system.env_var("USER"));
    let name = name.unwrap_or_else(|| "unknown".to_owned());
    if name.chars().count() > MAX_AUTHOR_CHARS || name.chars().any(char::is_control) {
        let message = format!("--author: at most {MAX_AUTHOR_CHARS} printable characters");
        return Err(Error::usage(message));
    }
    Ok(name.into())
}
