//! Waiting until a revision is in force.

use clap::{Arg, ArgAction, ArgMatches};
use vg_base::prelude::*;

use crate::node::Progress;
use crate::options::parse_duration;
use crate::session::Session;
use crate::{Error, Platform, System};

/// Default of `--wait`: the longest wait until a revision is in force.
const DEFAULT_WAIT: Duration = Duration::from_secs(15);

/// Pause between two rounds of requests to the entry hosts.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Whether and how long to wait until a revision is in force.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WaitOptions {
    limit: Option<Duration>,
}

impl WaitOptions {
    /// Builds the command-line options.
    pub(crate) fn args() -> [Arg; 2] {
        [
            Arg::new("no-wait")
                .long("no-wait")
                .action(ArgAction::SetTrue)
                .help("Do not wait until the revision is in force"),
            Arg::new("wait")
                .long("wait")
                .value_name("TIME")
                .conflicts_with("no-wait")
                .help("Longest wait until the revision is in force [default: 15s]"),
        ]
    }

    /// Reads the command-line options.
    pub(crate) fn read(matches: &ArgMatches) -> Result<WaitOptions, Error> {
        if matches.get_flag("no-wait") {
            return Ok(WaitOptions { limit: None });
        }
        let limit = match matches.get_one::<String>("wait") {
            Some(text) => parse_duration("wait", text)?,
            None => DEFAULT_WAIT,
        };
        Ok(WaitOptions { limit: Some(limit) })
    }

    /// Asks the entry hosts until all live ones have a revision or the time limit is
    /// reached, and returns the last result.
    ///
    /// Returns `None` without asking if there is no wait or no entry host is given.
    pub(super) async fn wait<P: Platform, Y: System>(
        self,
        session: &Session<'_, '_, P, Y>,
        revision: Revision,
    ) -> Result<Option<Progress>, Error> {
        let Some(limit) = self.limit.filter(|_| !session.options.entries.is_empty()) else {
            return Ok(None);
        };
        let mut nodes = session.nodes()?;
        nodes.cap_timeout(limit);
        let start = Instant::now();
        loop {
            let progress = Progress::new(revision, &nodes.query_statuses().await);
            if progress.is_in_force() || start.elapsed() + POLL_INTERVAL > limit {
                return Ok(Some(progress));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}
