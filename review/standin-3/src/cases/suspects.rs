//! A minion is lost for good just after tasks of many jobs have started there.

use std::path::Path;
use std::time::{Duration, Instant};

use crate::cases::idle::{self, FINISH};
use crate::deployment::{Deployment, Failure, SERVICE, Size};
use crate::plan::StepPlan;

const JOBS: usize = 32;
/// Time after the last start at which the minion is lost.
const LOST_AFTER: Duration = Duration::from_millis(400);
/// Time after which the entry of a silent minion goes.
const ENTRY_TIME: Duration = Duration::from_millis(4500);
/// Time within which all tasks start in calm.
const START_TIME: Duration = Duration::from_secs(5);

/// Plays the case; returns whether the rule held.
pub async fn play(dir: &Path, trouble: bool) -> Result<bool, Failure> {
    let mut deployment = Deployment::start(Size {
        hosts: 3,
        minions: 8,
        millicores: 16_000,
        max_hold: Duration::from_secs(6),
        advice: None,
    })
    .await?;
    let step = StepPlan { count: 1, work_ms: 4000, cpu: 500, ..StepPlan::default() };
    let mut jobs = Vec::new();
    for at in 0..JOBS {
        let job = format!("9e{at:014x}");
        if !deployment.submit(SERVICE, &job, std::slice::from_ref(&step)).await {
            return Err("a job was not accepted in calm".into());
        }
        jobs.push(job);
    }
    let end = Instant::now();
    while deployment.floor.running("9e").len() < JOBS {
        if end.elapsed() > START_TIME {
            return Err("the tasks did not start in calm".into());
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    tokio::time::sleep(LOST_AFTER).await;
    let running = deployment.floor.running("9e");
    let minion = running.first().map(|(_, minion, _)| minion.clone()).ok_or("no task runs")?;
    if trouble {
        deployment.crash_minion(&minion).await;
        tokio::time::sleep(ENTRY_TIME).await;
        deployment.remove_entry(&minion).await;
    }
    tokio::time::sleep(FINISH.saturating_sub(end.elapsed())).await;
    let holds = idle::holds(&mut deployment, &jobs, 1).await;
    deployment.write_record(dir);
    Ok(holds)
}
