//! `config settle`: finds out whether a change is stored.

use clap::{Arg, ArgMatches, Command};
use serde::Serialize;
use vg_base::prelude::*;
use vg_conf::ChangeId;

use crate::output::{Report, Style};
use crate::revision::Resolution;
use crate::session::Session;
use crate::{Error, Exit, Platform, System};

pub(super) fn command() -> Command {
    Command::new("settle")
        .about("Finds out whether a change is stored; if not, makes sure that it never will be")
        .arg(Arg::new("change").value_name("CHANGE").required(true).help("The change's id"))
        .arg(super::revision_arg("base", "The revision that the change was made from"))
}

/// The report on the outcome of a change.
#[derive(Debug, Serialize)]
struct ResolveReport {
    change: ChangeId,
    outcome: &'static str,
    revision: Option<Revision>,
}

impl Report for ResolveReport {
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
        text.parse().map_err(|e| Error::usage(format!("CHANGE: `{text}` is not valid: {e}")))?;
    let base = super::revision(matches, "base");
    let (outcome, revision) = match session.revisions()?.resolve(change, base).await? {
        Resolution::Stored { revision } => ("stored", Some(revision)),
        Resolution::NotStored => ("not-stored", None),
        Resolution::HistoryExpired => {
            return Err(Error::failed(
                "the change is older than the kept history, so its outcome can't be found out any \
                 more; compare the lists with `verbenagap config diff`",
            ));
        }
    };
    session.print_report(&ResolveReport { change, outcome, revision })?;
    Ok(Exit::Success)
}
