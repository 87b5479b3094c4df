//! `config history`: lists the kept revisions.

use clap::Command;
use serde::Serialize;
use vg_base::prelude::*;
use vg_conf::{ChangeId, StoredLists};

use crate::output::{Report, Style, Table, utc};
use crate::session::Session;
use crate::{Error, Exit, Platform, System};

pub(super) fn command() -> Command {
    Command::new("history").about("Lists the kept revisions, oldest first")
}

/// One kept revision.
#[derive(Debug, Serialize)]
struct Row {
    revision: Revision,
    change: ChangeId,
    author: SmolStr,
    at_ms: u64,
}

impl From<StoredLists> for Row {
    fn from(stored: StoredLists) -> Row {
        let StoredLists { revision, change, author, at_ms, .. } = stored;
        Row { revision, change, author, at_ms }
    }
}

/// All kept revisions.
#[derive(Debug, Serialize)]
#[serde(transparent)]
struct History(Vec<Row>);

impl Report for History {
    fn text(&self, style: Style) -> String {
        let mut table = Table::new(&["revision", "time", "author", "change"]);
        for row in &self.0 {
            let revision = row.revision.to_string();
            table.row([revision, utc(row.at_ms), row.author.to_string(), row.change.to_string()]);
        }
        table.text(style)
    }
}

pub(super) async fn run<P: Platform, Y: System>(
    session: &mut Session<'_, '_, P, Y>,
) -> Result<Exit, Error> {
    let history = session.revisions()?.history().await?;
    session.show(&History(history.into_iter().map(Row::from).collect()))?;
    Ok(Exit::Success)
}
