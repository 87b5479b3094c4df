//! `config diff`: says what files would change.

use clap::{ArgMatches, Command};
use serde::Serialize;
use snafu::ResultExt;
use vg_base::prelude::*;
use vg_conf::lists::{Difference, diff};

use super::pair::Pair;
use crate::error::StoredSnafu;
use crate::output::{Report, Style};
use crate::session::Session;
use crate::{Error, Exit, Platform, System};

pub(super) fn command() -> Command {
    Command::new("diff")
        .about("Says what the files would change: who gains, who loses, whose work is refused")
        .args(Pair::args())
        .arg(super::revision_arg("base", "Compare with this revision, not with the newest"))
}

/// Differences to a revision.
#[derive(Debug, Serialize)]
pub(super) struct Differences {
    /// The revision that is compared with.
    pub(super) base: Revision,
    /// The differences.
    pub(super) differences: Vec<Difference>,
}

impl Report for Differences {
    fn text(&self, _: Style) -> String {
        if self.differences.is_empty() {
            return format!("no difference to revision {}\n", self.base);
        }
        let head = format!("differences to revision {}:\n", self.base);
        let lines = self.differences.iter().map(|each| format!("  {each}\n"));
        head + &lines.collect::<String>()
    }
}

pub(super) async fn run<P: Platform, Y: System>(
    session: &mut Session<'_, '_, P, Y>,
    matches: &ArgMatches,
) -> Result<Exit, Error> {
    let after = Pair::read(session, matches)?.lists()?;
    let before = super::show::find(session, super::revision(matches, "base")).await?;
    let base = before.as_ref().map_or(Revision::ZERO, |stored| stored.revision);
    let before = before.map(|stored| stored.lists()).transpose().context(StoredSnafu)?;
    let differences = diff(&before.unwrap_or_default(), &after);
    session.show(&Differences { base, differences })?;
    Ok(Exit::Success)
}
