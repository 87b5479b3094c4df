//! Waiting until a revision is in force.

use clap::{Arg, ArgAction, ArgMatches};
use vg_base::prelude::*;

use crate::node::Progress;
use crate::options::time;
use crate::session::Session;
use crate::{Error, Platform, System};

/// Longest wait for a revision to be in force everywhere.
const DEFAULT_WAIT: Duration = Duration::from_secs(15);

/// Pause between two rounds of asking.
const PAUSE: Duration = Duration::from_millis(250);

/// Whether and how long to wait.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WaitOptions {
    limit: Option<Duration>,
}

impl WaitOptions {
    /// Returns the options' arguments.
    pub(crate) fn args() -> [Arg; 2] {
        [
            Arg::new("no-wait")
                .long("no-wait")
                .action(ArgAction::SetTrue)
                .help("Don't wait until the revision is in force"),
            Arg::new("wait")
                .long("wait")
                .value_name("TIME")
                .conflicts_with("no-wait")
                .help("Longest wait until the revision is in force [default: 15s]"),
        ]
    }

    /// Reads the options.
    pub(crate) fn read(matches: &ArgMatches) -> Result<WaitOptions, Error> {
        if matches.get_flag("no-wait") {
            return Ok(WaitOptions { limit: None });
        }
        let limit = match matches.get_one::<String>("wait") {
            Some(text) => time("wait", text)?,
            None => DEFAULT_WAIT,
        };
        Ok(WaitOptions { limit: Some(limit) })
    }

    /// Asks the entry hosts until all live ones have a revision or the time is
    /// over; `None`: not asked.
    pub(super) async fn wait<P: Platform, Y: System>(
        self,
        session: &Session<'_, '_, P, Y>,
        revision: Revision,
    ) -> Result<Option<Progress>, Error> {
        let Some(limit) = self.limit.filter(|_| !session.options.entries.is_empty()) else {
            return Ok(None);
        };
        let mut nodes = session.nodes()?;
        nodes.limit(limit);
        let start = Instant::now();
        loop {
            let progress = Progress::new(revision, &nodes.survey().await);
            if progress.is_in_force() || start.elapsed() + PAUSE > limit {
                return Ok(Some(progress));
            }
            tokio::time::sleep(PAUSE).await;
        }
    }
}
