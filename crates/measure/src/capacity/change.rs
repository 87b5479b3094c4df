//! Time from the acceptance of a change until it is in force on every node.

use std::io::Write;

use hdrhistogram::Histogram;
use vg_base::prelude::*;

use super::process::load;
use super::rig::Rig;
use super::size::Size;
use crate::Error;
use crate::report::Table;

/// Time between two changes.
const GAP: Duration = Duration::from_millis(200);
/// Period in which the nodes are looked at.
const LOOK_PERIOD: Duration = Duration::from_millis(1);
/// Longest wait for a change.
const WAIT_MAX: Duration = Duration::from_secs(30);
/// Delay of each call to a slow store.
const SLOW: Duration = Duration::from_millis(400);

/// How nodes learn of a change in a case.
#[derive(Debug, Clone, Copy)]
struct Case {
    name: &'static str,
    delay: Duration,
    silent: bool,
}

const CASES: [Case; 4] = [
    Case { name: "watch", delay: Duration::ZERO, silent: false },
    Case { name: "watch, slow store", delay: SLOW, silent: false },
    Case { name: "watches silent", delay: Duration::ZERO, silent: true },
    Case { name: "watches silent, slow store", delay: SLOW, silent: true },
];

/// Measures each case at one size or at three.
pub(super) fn report(size: Option<Size>, changes: u32, out: &mut impl Write) -> Result<(), Error> {
    let millis = SLOW.as_millis();
    writeln!(out, "change: {changes} changes in each case, load {} before", load())?;
    writeln!(out, "a slow store delays each call of each node by {millis} ms")?;
    let sizes = [3, 9, 18].map(|nodes| Size { nodes, pools: 27, teams: 30, workers: 1 });
    let sizes = size.map_or_else(|| sizes.to_vec(), |size| vec![size]);
    let mut table = Table::new(&["case", "nodes", "p50 ms", "p99 ms", "max ms", "not in force"]);
    for size in sizes {
        let rig = Rig::start(size)?;
        for case in CASES {
            let (times, missed) = rig.block_on(run(&rig, case, changes))?;
            table.row(&[
                &case.name,
                &size.nodes,
                &times.value_at_quantile(0.5),
                &times.value_at_quantile(0.99),
                &times.max(),
                &missed,
            ]);
        }
        rig.stop();
    }
    table.write(out)?;
    writeln!(out, "load {} after", load())?;
    Ok(())
}

async fn run(rig: &Rig, case: Case, changes: u32) -> Result<(Histogram<u64>, u32), Error> {
    let failed = |reason: String| Error::Site { reason };
    for node in rig.site.nodes().values() {
        node.faults.set_delay(case.delay);
        node.faults.set_silent(case.silent);
    }
    tokio::time::sleep(GAP * 5).await;
    let (plans, uses) = rig.site.list_texts().map_err(|e| failed(e.to_string()))?;
    let mut times = Histogram::new(3).map_err(|e| failed(e.to_string()))?;
    let mut missed = 0;
    for at in 0..changes {
        let plans = plans.replacen("limit = 96", &format!("limit = {}", 97 + at % 100), 1);
        let changed = rig.site.change_lists(plans, uses.clone()).await;
        let revision = changed.map_err(|e| failed(e.to_string()))?;
        match in_force(rig, revision).await {
            Some(time) => times.saturating_record(time.as_millis() as u64),
            None => missed += 1,
        }
        tokio::time::sleep(GAP).await;
    }
    Ok((times, missed))
}

/// Waits until all nodes have a revision in force.
async fn in_force(rig: &Rig, revision: Revision) -> Option<Duration> {
    let began = Instant::now();
    let has = |node: &verbenagap::site::SiteNode| {
        node.handle.node().config.current().revision >= revision
    };
    while !rig.site.nodes().values().all(has) {
        if began.elapsed() > WAIT_MAX {
            return None;
        }
        tokio::time::sleep(LOOK_PERIOD).await;
    }
    Some(began.elapsed())
}
