//! `config status`: shows which revision each entry host has.

use std::net::SocketAddr;

use clap::Command;
use serde::Serialize;
use vg_base::prelude::*;

use crate::node::{NodeAnswer, Progress, Status};
use crate::output::{Report, Style, Table};
use crate::session::Session;
use crate::{Error, Exit, Platform, System};

pub(super) fn command() -> Command {
    Command::new("status").about("Shows which revision is in force on each live entry host")
}

/// The status of one entry host, or why it gave none.
#[derive(Debug, Serialize)]
struct NodeRow {
    addr: SocketAddr,
    #[serde(flatten)]
    status: Option<Status>,
    error: Option<String>,
}

impl NodeRow {
    /// Returns the sort key: entry hosts that answered come first, by name.
    fn sort_key(&self) -> (bool, Option<&NodeId>, SocketAddr) {
        (self.status.is_none(), self.status.as_ref().map(|status| &status.node), self.addr)
    }
}

impl From<NodeAnswer<Status>> for NodeRow {
    fn from(answer: NodeAnswer<Status>) -> NodeRow {
        let addr = answer.addr;
        match answer.answer {
            Ok(status) => NodeRow { addr, status: Some(status), error: None },
            Err(error) => NodeRow { addr, status: None, error: Some(error) },
        }
    }
}

/// The status of all entry hosts, and how far the newest revision is rolled out.
#[derive(Debug, Serialize)]
struct ClusterStatus {
    nodes: Vec<NodeRow>,
    /// Why the newest revision could not be read from the store.
    store: Option<String>,
    /// The newest revision of the entry hosts, if it is newer than that of the store.
    ahead: Option<Revision>,
    progress: Progress,
}

impl Report for ClusterStatus {
    fn text(&self, style: Style) -> String {
        let mut table = Table::new(&["node", "incarnation", "revision", "state", "address"]);
        for row in &self.nodes {
            table.row(cells(row));
        }
        let mut text = table.text(style) + &progress_text(&self.progress, style);
        if let Some(error) = &self.store {
            let note = style.bad("the store may have a newer revision");
            text += &format!("{note}: {error}\n");
        }
        if let Some(ahead) = self.ahead {
            let behind = style.bad("entry hosts have a later revision than the store shows");
            let revision = self.progress.revision;
            text += &format!(
                "{behind}: they have revision {ahead} and refuse {revision}; apply the lists again \
                 with --base {revision} --above {ahead}\n"
            );
        }
        text
    }
}

pub(super) async fn run<P: Platform, Y: System>(
    session: &mut Session<'_, '_, P, Y>,
) -> Result<Exit, Error> {
    let answers = session.nodes()?.query_statuses().await;
    let (revision, store) = newest_revision(session, &answers).await?;
    let ahead = newest_known(&answers).filter(|&known| known > revision);
    let progress = Progress::new(revision, &answers);
    let is_done = progress.is_in_force() && store.is_none() && ahead.is_none();
    let mut nodes: Vec<NodeRow> = answers.into_iter().map(NodeRow::from).collect();
    nodes.sort_by(|a, b| a.sort_key().cmp(&b.sort_key()));
    session.print_report(&ClusterStatus { nodes, store, ahead, progress })?;
    Ok(if is_done { Exit::Success } else { Exit::Failed })
}

/// Renders how far a revision is rolled out, in one or more lines.
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

/// Returns the newest revision in the store.
///
/// Without a store, or if the store fails, returns the newest revision of the entry
/// hosts, with the error of the store if there is one. A failure of the store must not
/// make the command fail, because operators need the status of the entry hosts most in
/// an outage.
async fn newest_revision<P: Platform, Y: System>(
    session: &Session<'_, '_, P, Y>,
    answers: &[NodeAnswer<Status>],
) -> Result<(Revision, Option<String>), Error> {
    let known = newest_known(answers).unwrap_or_default();
    if session.options.store.is_empty() {
        return Ok((known, None));
    }
    Ok(match session.revisions()?.current().await {
        Ok(current) => (current.revision(), None),
        Err(error) => (known, Some(error.to_string())),
    })
}

/// Returns the newest revision that any entry host has.
fn newest_known(answers: &[NodeAnswer<Status>]) -> Option<Revision> {
    let answers = answers.iter().filter_map(|answer| answer.answer.as_ref().ok());
    answers.map(|status| status.revision).max()
}

fn cells(row: &NodeRow) -> [String; 5] {
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
