//! `config status`: says which revision each entry host has.

use std::net::SocketAddr;

use clap::Command;
use serde::Serialize;
use vg_base::prelude::*;

use crate::node::{Progress, Status, View};
use crate::output::{Report, Style, Table};
use crate::session::Session;
use crate::{Error, Exit, Platform, System};

pub(super) fn command() -> Command {
    Command::new("status").about("Says which revision is in force on each live entry host")
}

/// One entry host.
#[derive(Debug, Serialize)]
struct Row {
    addr: SocketAddr,
    #[serde(flatten)]
    status: Option<Status>,
    error: Option<String>,
}

impl Row {
    /// Answers stand first, by name.
    fn order(&self) -> (bool, Option<&NodeId>, SocketAddr) {
        (self.status.is_none(), self.status.as_ref().map(|status| &status.node), self.addr)
    }
}

impl From<View<Status>> for Row {
    fn from(view: View<Status>) -> Row {
        let addr = view.addr;
        match view.answer {
            Ok(status) => Row { addr, status: Some(status), error: None },
            Err(error) => Row { addr, status: None, error: Some(error) },
        }
    }
}

/// All entry hosts, and how far the newest revision has come.
#[derive(Debug, Serialize)]
struct Statuses {
    nodes: Vec<Row>,
    /// Why the store did not say what the newest revision is.
    store: Option<String>,
    /// The entry hosts' newest revision, if the store has lost it.
    ahead: Option<Revision>,
    progress: Progress,
}

impl Report for Statuses {
    fn text(&self, style: Style) -> String {
        let mut table = Table::new(&["node", "incarnation", "revision", "state", "address"]);
        for row in &self.nodes {
            table.row(cells(row));
        }
        let mut text = table.text(style) + &progress_text(&self.progress, style);
        if let Some(error) = &self.store {
            let note = style.bad("there may be a newer one");
            text += &format!("{note}: {error}\n");
        }
        if let Some(ahead) = self.ahead {
            let back = style.bad("the store has gone back");
            let revision = self.progress.revision;
            text += &format!(
                "{back}: entry hosts have revision {ahead} and refuse {revision}; apply the lists \
                 anew with --base {revision} --above {ahead}\n"
            );
        }
        text
    }
}

pub(super) async fn run<P: Platform, Y: System>(
    session: &mut Session<'_, '_, P, Y>,
) -> Result<Exit, Error> {
    let views = session.nodes()?.survey().await;
    let (revision, store) = newest(session, &views).await?;
    let ahead = known(&views).filter(|&known| known > revision);
    let progress = Progress::new(revision, &views);
    let is_done = progress.is_in_force() && store.is_none() && ahead.is_none();
    let mut nodes: Vec<Row> = views.into_iter().map(Row::from).collect();
    nodes.sort_by(|a, b| a.order().cmp(&b.order()));
    session.show(&Statuses { nodes, store, ahead, progress })?;
    Ok(if is_done { Exit::Success } else { Exit::Failed })
}

/// Says in a line or more how far a revision has come.
pub(super) fn progress_text(progress: &Progress, style: Style) -> String {
    let Progress { revision, live, have, .. } = progress;
    if progress.is_in_force() {
        let done = style.good("in force");
        return format!("revision {revision} is {done} on all {live} live entry hosts\n");
    }
    if *live == 0 {
        let unknown = style.bad("not known to be in force");
        return format!("revision {revision} is {unknown}: no entry host answered\n");
    }
    let head = if progress.accepted { style.warn("accepted") } else { style.bad("not accepted") };
    let mut text = format!("revision {revision}: {head}, on {have} of {live} live entry hosts\n");
    for each in &progress.waiting {
        text += &format!("  waiting for {}: {}\n", each.node, each.reason);
    }
    text
}

/// Returns the store's revision. Without a store, or if it fails, returns the
/// entry hosts' newest, and why the store gave none: an operator needs to see
/// the entry hosts in an outage most of all.
async fn newest<P: Platform, Y: System>(
    session: &Session<'_, '_, P, Y>,
    views: &[View<Status>],
) -> Result<(Revision, Option<String>), Error> {
    let known = known(views).unwrap_or_default();
    if session.options.store.is_empty() {
        return Ok((known, None));
    }
    Ok(match session.revisions()?.current().await {
        Ok(current) => (current.revision(), None),
        Err(error) => (known, Some(error.to_string())),
    })
}

/// Returns the newest revision that an entry host has.
fn known(views: &[View<Status>]) -> Option<Revision> {
    let answers = views.iter().filter_map(|view| view.answer.as_ref().ok());
    answers.map(|status| status.revision).max()
}

fn cells(row: &Row) -> [String; 5] {
    match (&row.status, &row.error) {
        (Some(status), _) => [
            status.node.to_string(),
            status.incarnation.to_string(),
            status.revision.to_string(),
            status.state.to_string(),
            row.addr.to_string(),
        ],
        (None, error) => {
            let error = error.clone().unwrap_or_default();
            ["-".into(), "-".into(), "-".into(), "-".into(), format!("{} ({error})", row.addr)]
        }
    }
}
