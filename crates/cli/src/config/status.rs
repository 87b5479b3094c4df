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
    progress: Progress,
}

impl Report for Statuses {
    fn text(&self, style: Style) -> String {
        let mut table = Table::new(&["node", "incarnation", "revision", "state", "address"]);
        for row in &self.nodes {
            table.row(cells(row));
        }
        table.text(style) + &progress_text(&self.progress, style)
    }
}

pub(super) async fn run<P: Platform, Y: System>(
    session: &mut Session<'_, '_, P, Y>,
) -> Result<Exit, Error> {
    let views = session.nodes()?.discover().await.statuses().await;
    let revision = newest(session, &views).await?;
    let progress = Progress::new(revision, &views);
    let in_force = progress.is_in_force();
    session.show(&Statuses { nodes: views.into_iter().map(Row::from).collect(), progress })?;
    Ok(if in_force { Exit::Done } else { Exit::Failed })
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

/// Returns the store's revision, or the nodes' newest without a store.
async fn newest<P: Platform, Y: System>(
    session: &Session<'_, '_, P, Y>,
    views: &[View<Status>],
) -> Result<Revision, Error> {
    if !session.options.store.is_empty() {
        return Ok(session.revisions()?.current().await?.revision());
    }
    let known = views.iter().filter_map(|view| view.answer.as_ref().ok());
    Ok(known.map(|status| status.revision).max().unwrap_or_default())
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
