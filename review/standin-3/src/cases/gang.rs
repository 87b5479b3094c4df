//! A minion crashes while gangs that checkpoint are at work.

use std::collections::{HashMap, HashSet};
use std::path::Path;
use std::time::{Duration, Instant};

use crate::deployment::{Deployment, Failure, SERVICE, Size};
use crate::plan::StepPlan;

const JOBS: usize = 10;
const MEMBERS: u32 = 4;
/// Work of each gang.
const WORK_MS: u64 = 12_000;
/// Time from the first submission to the disruption.
const LOST_AFTER: Duration = Duration::from_secs(6);
/// `contact-ms`: from then on all machines are in touch again.
const CONTACT: Duration = Duration::from_secs(3);
/// Time after which the entry of a silent minion goes.
const ENTRY_TIME: Duration = Duration::from_millis(4500);
/// Time for which the jobs are followed.
const WATCHED: Duration = Duration::from_secs(50);

fn job(at: usize) -> String {
    format!("{:016x}", 0x5a00_0000_0000_0000_u64 + at as u64 * 0x0101_0101)
}

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
    let started = Instant::now();
    let step = StepPlan {
        count: MEMBERS,
        work_ms: WORK_MS,
        cpu: 1500,
        gang: true,
        saves: true,
        apart: 1,
        ..StepPlan::default()
    };
    for at in 0..JOBS {
        if !deployment.submit(SERVICE, &job(at), std::slice::from_ref(&step)).await {
            return Err("a job was not accepted in calm".into());
        }
        tokio::time::sleep(Duration::from_millis(95)).await;
    }
    tokio::time::sleep(LOST_AFTER.saturating_sub(started.elapsed())).await;
    let at_work = deployment.floor.running("5a");
    let minion = at_work.first().map(|(_, minion, _)| minion.clone()).ok_or("no gang runs")?;
    let lost = Instant::now();
    if trouble {
        deployment.crash_minion(&minion).await;
    }
    // The entry of the minion goes after three intervals of its heartbeat.
    tokio::time::sleep(ENTRY_TIME).await;
    if trouble {
        deployment.remove_entry(&minion).await;
    }
    let calm = lost + CONTACT;
    tokio::time::sleep(WATCHED.saturating_sub(started.elapsed())).await;
    let mut complete = 0;
    for at in 0..JOBS {
        let state = deployment.state(&job(at)).await;
        deployment.record.add(format!("job {} is {state}", job(at)));
        complete += usize::from(state == "complete");
    }
    let happenings = deployment.floor.happenings();
    let alone = happenings.iter().filter(|each| each.how == "alone" && each.began > calm).count();
    let mut carried: HashMap<(String, u64), HashSet<String>> = HashMap::new();
    for start in happenings.iter().filter(|each| each.how == "start") {
        let step = start.task.rsplit_once('.').map_or("", |(step, _)| step).to_owned();
        carried.entry((step, start.run)).or_default().insert(start.carried.clone());
    }
    let mixed = carried.values().filter(|values| values.len() > 1).count();
    let result = format!(
        "{alone} runs were started with all machines in touch and ended `alone`; the members of \
         {mixed} runs of gangs carried different checkpoints; {complete} of {JOBS} jobs are complete"
    );
    println!("{result}");
    deployment.record.add(result);
    deployment.write_record(dir);
    Ok(alone == 0)
}
