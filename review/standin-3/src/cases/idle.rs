//! The part of LOST that is judged `finish_s` after the end of the traffic.

use std::time::{Duration, Instant};

use crate::deployment::{Deployment, SERVICE};

/// `finish_s`: jobs are asked for that long after the end of the traffic.
pub const FINISH: Duration = Duration::from_secs(14);
/// Time for which a job may have nothing running then.
const IDLE_MAX: Duration = Duration::from_secs(3);

/// Whether all `tasks` of a job have ended `done`.
fn is_done(deployment: &Deployment, job: &str, tasks: usize) -> bool {
    let happenings = deployment.floor.happenings();
    let done = happenings.iter().filter(|each| each.how == "done" && each.task.starts_with(job));
    done.count() >= tasks
}

/// Watches jobs of one step with `tasks` tasks from now on. Returns whether the rule holds: none
/// of them has nothing running all the while, or half of the service's capacity is in use.
pub async fn holds(deployment: &mut Deployment, jobs: &[String], tasks: usize) -> bool {
    let open = |job: &&String| !is_done(deployment, job, tasks);
    let mut idle: Vec<_> = jobs.iter().filter(open).cloned().collect();
    let (mut most, mut all) = (0, 0);
    let window = Instant::now();
    while window.elapsed() < IDLE_MAX {
        let (used, room) = deployment.floor.use_of(SERVICE);
        (most, all) = (used.max(most), room);
        idle.retain(|job| {
            deployment.floor.running(job).is_empty() && !is_done(deployment, job, tasks)
        });
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    if let Some(job) = idle.first() {
        let state = deployment.state(job).await;
        deployment.record.add(format!("job {job} is {state}"));
    }
    let result = format!(
        "{} of {} accepted jobs had nothing running for {} s, {} s after the end of the traffic; \
         the service used at most {most} of {all} thousandths of a core",
        idle.len(),
        jobs.len(),
        IDLE_MAX.as_secs(),
        FINISH.as_secs(),
    );
    println!("{result}");
    deployment.record.add(result);
    idle.is_empty() || most * 2 >= all
}
