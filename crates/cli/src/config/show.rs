//! `config show`: prints a revision of the lists.

use clap::{Arg, ArgAction, ArgMatches, Command};
use vg_base::prelude::*;
use vg_conf::StoredLists;

use crate::output::{Report, Style, utc};
use crate::session::Session;
use crate::{Error, Exit, Platform, System};

pub(super) fn command() -> Command {
    let flag = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).action(ArgAction::SetTrue).help(help)
    };
    Command::new("show")
        .about("Prints the lists of the newest revision or an earlier one")
        .arg(super::revision_arg("revision", "Print this revision, not the newest"))
        .arg(flag("plans", "Print the text of the list `plans` alone"))
        .arg(flag("uses", "Print the text of the list `uses` alone").conflicts_with("plans"))
}

impl Report for StoredLists {
    fn text(&self, style: Style) -> String {
        let head = format!("revision {}", self.revision);
        format!(
            "{}, change {}, by {} at {}\n\n== plans\n{}\n== uses\n{}",
            style.head(&head),
            self.change,
            self.author,
            utc(self.at_ms),
            self.plans,
            self.uses,
        )
    }
}

pub(super) async fn run<P: Platform, Y: System>(
    session: &mut Session<'_, '_, P, Y>,
    matches: &ArgMatches,
) -> Result<Exit, Error> {
    let stored = find(session, super::revision(matches, "revision")).await?;
    let Some(stored) = stored else {
        let message = "the store has no lists yet; store the first with `verbenagap config apply --base 0 PLANS USES`";
        return Err(Error::failed(message));
    };
    if matches.get_flag("plans") {
        session.print(stored.plans.as_bytes())?;
    } else if matches.get_flag("uses") {
        session.print(stored.uses.as_bytes())?;
    } else {
        session.show(&stored)?;
    }
    Ok(Exit::Success)
}

/// Reads a revision, or the newest; `None`: there are no lists yet.
pub(super) async fn find<P: Platform, Y: System>(
    session: &Session<'_, '_, P, Y>,
    revision: Option<Revision>,
) -> Result<Option<StoredLists>, Error> {
    let revisions = session.revisions()?;
    let newest = revisions.current().await?;
    let Some(revision) = revision.filter(|&revision| revision != newest.revision()) else {
        return Ok(newest.stored);
    };
    match revisions.at(revision).await? {
        Some(stored) => Ok(Some(stored)),
        None => Err(Error::failed(format!(
            "revision {revision} is not kept; see `verbenagap config history`"
        ))),
    }
}
