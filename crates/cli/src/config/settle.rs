//! `config settle`: finds out what became of a change.

use clap::{Arg, ArgMatches, Command};
use serde::Serialize;
use vg_base::prelude::*;
use vg_conf::ChangeId;

use crate::output::{Report, Style};
use crate::revise::Settlement;
use crate::session::Session;
use crate::{Error, Exit, Platform, System};

pub(super) fn command() -> Command {
    Command::new("settle")
        .about("Finds out whether a change is stored, and sees to it that it never will be if not")
        .arg(Arg::new("change").value_name("CHANGE").required(true).help("The change's id"))
        .arg(super::revision_arg("base", "The revision that the change was made from"))
}

/// What became of a change.
#[derive(Debug, Serialize)]
struct Settled {
    change: ChangeId,
    outcome: &'static str,
    revision: Option<Revision>,
}

impl Report for Settled {
    fn text(&self, style: Style) -> String {
        match self.revision {
            Some(revision) => {
                let stored = style.good("stored");
                format!("change {} is {stored} as revision {revision}\n", self.change)
            }
            None => {
                let not = style.warn("not stored");
                format!("change {} is {not} and never will be\n", self.change)
            }
        }
    }
}

pub(super) async fn run<P: Platform, Y: System>(
    session: &mut Session<'_, '_, P, Y>,
    matches: &ArgMatches,
) -> Result<Exit, Error> {
    let text = matches.get_one::<String>("change").map(String::as_str).unwrap_or_default();
    let change: ChangeId =
        text.parse().map_err(|e| Error::usage(format!("`{text}` is refused: {e}")))?;
    let base = super::revision(matches, "base");
    let (outcome, revision) = match session.revisions()?.settle(change, base).await? {
        Settlement::Stored { revision } => ("stored", Some(revision)),
        Settlement::NotStored => ("not-stored", None),
        Settlement::Forgotten => {
            return Err(Error::failed(
                "the change is older than the kept history: nobody can tell any more; compare \
                 the lists with `verbenagap config diff`",
            ));
        }
    };
    session.show(&Settled { change, outcome, revision })?;
    Ok(Exit::Success)
}
