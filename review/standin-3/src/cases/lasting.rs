//! A minion is lost for good just after a task that lasts has started there.

use std::path::Path;
use std::time::{Duration, Instant};

use crate::deployment::{Deployment, Failure, PATIENT, SERVICE, Size};
use crate::plan::StepPlan;

const MINIONS: usize = 8;
/// Jobs of tasks that take long, which fill all minions.
const LONG_JOBS: usize = 8;
const LONG_TASKS: u32 = 4;
const LONG_MS: u64 = 45_000;
/// The job whose tasks last.
const LASTING: &str = "6b00000000000001";
/// Time after the start of a task that lasts at which its minion is lost.
const LOST_AFTER: Duration = Duration::from_millis(400);
/// From this time after its last run the task has to run.
const OWED_AFTER: Duration = Duration::from_secs(6);
/// Time for which a task that is owed may have nothing running.
const IDLE_MAX: Duration = Duration::from_secs(3);
/// Time before these in which nothing is disrupted.
const CALM_BEFORE: Duration = Duration::from_secs(4);
/// `contact-ms`: time after the loss until which it counts as a disruption.
const CONTACT: Duration = Duration::from_secs(3);
/// Time after which the entry of a silent minion goes.
const ENTRY_TIME: Duration = Duration::from_millis(4500);
/// Time for which the task is followed after the loss.
const WATCHED: Duration = Duration::from_secs(24);

/// Plays the case; returns whether the rule held.
pub async fn play(dir: &Path, trouble: bool) -> Result<bool, Failure> {
    let mut deployment = Deployment::start(Size {
        hosts: 3,
        minions: MINIONS,
        millicores: 16_000,
        max_hold: Duration::from_secs(6),
        advice: None,
    })
    .await?;
    let long = StepPlan { count: LONG_TASKS, work_ms: LONG_MS, cpu: 4000, ..StepPlan::default() };
    for at in 0..LONG_JOBS {
        let job = format!("7c{at:014x}");
        if !deployment.submit(PATIENT, &job, std::slice::from_ref(&long)).await {
            return Err("a job was not accepted in calm".into());
        }
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    let (used, all) = deployment.floor.use_of("desk");
    deployment.record.add(format!("the service uses {used} of {all} thousandths of a core"));
    let lasting = StepPlan { count: 2, cpu: 4000, lasting: true, apart: 1, ..StepPlan::default() };
    if !deployment.submit(SERVICE, LASTING, std::slice::from_ref(&lasting)).await {
        return Err("a job was not accepted in calm".into());
    }
    let until = Instant::now() + Duration::from_secs(10);
    while deployment.floor.running(LASTING).len() < 2 {
        if Instant::now() > until {
            return Err("the tasks that last did not start in calm".into());
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let mut running = deployment.floor.running(LASTING);
    running.sort_by_key(|(_, _, began)| *began);
    let (task, minion, began) = running.pop().ok_or("no task runs")?;
    tokio::time::sleep(LOST_AFTER.saturating_sub(began.elapsed())).await;
    let lost = Instant::now();
    if trouble {
        deployment.crash_minion(&minion).await;
        tokio::time::sleep(ENTRY_TIME).await;
        deployment.remove_entry(&minion).await;
    }
    tokio::time::sleep(WATCHED.saturating_sub(lost.elapsed())).await;
    let starts = deployment.floor.happenings();
    let again =
        starts.iter().find(|each| each.how == "start" && each.task == task && each.at > lost);
    let idle = match (trouble, again) {
        (false, _) => Duration::ZERO,
        (true, Some(again)) => again.at - lost,
        (true, None) => lost.elapsed(),
    };
    // The task is owed from six seconds after its last run, and the four seconds before the
    // three in which nothing runs are calm.
    let limit = OWED_AFTER.max(CONTACT + CALM_BEFORE) + IDLE_MAX;
    let result = format!(
        "{task} had no run for {:.1} s after its minion was lost; it is owed within {:.1} s",
        idle.as_secs_f64(),
        limit.as_secs_f64(),
    );
    println!("{result}");
    deployment.record.add(result);
    deployment.write_record(dir);
    Ok(idle <= limit)
}
