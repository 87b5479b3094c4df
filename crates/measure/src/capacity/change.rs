//! Measures the time from storing changed lists until every node uses them.

use std::io::Write;

use hdrhistogram::Histogram;
use vg_base::prelude::*;

use super::measured_site::MeasuredSite;
use super::process::load_average;
use super::size::Size;
use crate::Error;
use crate::report::Table;

/// Time between two changes.
const CHANGE_INTERVAL: Duration = Duration::from_millis(200);
/// Period at which the nodes are polled.
const POLL_PERIOD: Duration = Duration::from_millis(1);
/// Time after which a change counts as not in force.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay of each call to a slow store.
const SLOW_STORE_DELAY: Duration = Duration::from_millis(400);

/// A condition of the connection between nodes and store.
#[derive(Debug, Clone, Copy)]
struct Case {
    name: &'static str,
    /// Delay of each store call.
    delay: Duration,
    /// Whether watches deliver nothing.
    silent: bool,
}

/// The measured cases.
const CASES: [Case; 4] = [
    Case { name: "watch", delay: Duration::ZERO, silent: false },
    Case { name: "watch, slow store", delay: SLOW_STORE_DELAY, silent: false },
    Case { name: "watches silent", delay: Duration::ZERO, silent: true },
    Case { name: "watches silent, slow store", delay: SLOW_STORE_DELAY, silent: true },
];

/// Measures each case for one site, or for three with 3, 9 and 18 nodes.
pub(super) fn report(size: Option<Size>, changes: u32, out: &mut impl Write) -> Result<(), Error> {
    let millis = SLOW_STORE_DELAY.as_millis();
    writeln!(out, "change: {changes} changes per case, load average {} before", load_average())?;
    writeln!(out, "a slow store delays each call of each node by {millis} ms")?;
    let sizes = [3, 9, 18].map(|nodes| Size { nodes, pools: 27, teams: 30, workers: 1 });
    let sizes = size.map_or_else(|| sizes.to_vec(), |size| vec![size]);
    let mut table = Table::new(&["case", "nodes", "p50 ms", "p99 ms", "max ms", "not in force"]);
    for size in sizes {
        let measured = MeasuredSite::start(size)?;
        for case in CASES {
            let (times, missed) = measured.block_on(run(&measured, case, changes))?;
            table.row(&[
                &case.name,
                &size.nodes,
                &times.value_at_quantile(0.5),
                &times.value_at_quantile(0.99),
                &times.max(),
                &missed,
            ]);
        }
        measured.stop();
    }
    table.write(out)?;
    writeln!(out, "load average {} after", load_average())?;
    Ok(())
}

/// Measures the changes of one case. Returns the times and the number of changes that were
/// not in force in time.
async fn run(
    measured: &MeasuredSite,
    case: Case,
    changes: u32,
) -> Result<(Histogram<u64>, u32), Error> {
    let site_error = |reason: String| Error::Site { reason };
    for node in measured.site.nodes().values() {
        node.faults.set_delay(case.delay);
        node.faults.set_silent(case.silent);
    }
    tokio::time::sleep(CHANGE_INTERVAL * 5).await;
    let (plans, uses) = measured.site.list_texts().map_err(|e| site_error(e.to_string()))?;
    let mut times = Histogram::new(3).map_err(|e| site_error(e.to_string()))?;
    let mut missed = 0;
    for index in 0..changes {
        // Each change gives the first team another limit.
        let plans = plans.replacen("limit = 96", &format!("limit = {}", 97 + index % 100), 1);
        let changed = measured.site.change_lists(plans, uses.clone()).await;
        let revision = changed.map_err(|e| site_error(e.to_string()))?;
        match wait_in_force(measured, revision).await {
            Some(time) => times.saturating_record(time.as_millis() as u64),
            None => missed += 1,
        }
        tokio::time::sleep(CHANGE_INTERVAL).await;
    }
    Ok((times, missed))
}

/// Waits until all nodes use a revision and returns the time that it took, or `None` after
/// [`CHANGE_TIMEOUT`].
async fn wait_in_force(measured: &MeasuredSite, revision: Revision) -> Option<Duration> {
    let started = Instant::now();
    let in_force = |node: &verbenagap::site::SiteNode| {
        node.handle.node().config.current().revision >= revision
    };
    while !measured.site.nodes().values().all(in_force) {
        if started.elapsed() > CHANGE_TIMEOUT {
            return None;
        }
        tokio::time::sleep(POLL_PERIOD).await;
    }
    Some(started.elapsed())
}
