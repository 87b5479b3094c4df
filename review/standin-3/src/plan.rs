//! What the tasks of a job do, as the text that a client sends with the job.

use serde_json::{Value, json};

/// What the tasks of one step do.
#[derive(Debug, Clone, Default)]
pub struct StepPlan {
    /// Number of tasks.
    pub count: u32,
    /// Work of each task in milliseconds; ignored if it lasts.
    pub work_ms: u64,
    /// Thousandths of a core.
    pub cpu: u32,
    /// Whether the tasks work only together.
    pub gang: bool,
    /// Whether they checkpoint.
    pub saves: bool,
    /// Whether they run until they are stopped.
    pub lasting: bool,
    /// At most this many tasks on one minion; 0 for no limit.
    pub apart: u32,
}

const MEMORY_MB: u32 = 512;

/// Returns the body of a submission. The text of the job tells the minions what to do.
pub fn submission(steps: &[StepPlan]) -> Value {
    let text = json!(steps.iter().map(text_of).collect::<Vec<_>>()).to_string();
    let rows: Vec<_> = steps.iter().enumerate().map(|(at, step)| row(at, step)).collect();
    json!({"spec": text, "steps": rows})
}

fn text_of(step: &StepPlan) -> Value {
    json!({
        "count": step.count, "ms": step.work_ms, "cpu": step.cpu, "gang": step.gang,
        "saves": step.saves, "lasting": step.lasting,
    })
}

fn row(at: usize, step: &StepPlan) -> Value {
    let mut row = json!({
        "count": step.count, "cpu": step.cpu, "mem-mb": MEMORY_MB,
        "estimate-ms": if step.lasting { 900 } else { step.work_ms },
    });
    if at > 0 {
        row["after"] = json!([at - 1]);
    }
    for (name, set) in
        [("gang", step.gang), ("checkpoint", step.saves), ("long-running", step.lasting)]
    {
        if set {
            row[name] = json!(true);
        }
    }
    if step.apart > 0 {
        row["anti-affinity"] = json!(step.apart);
    }
    row
}

/// Reads the plan of one step from the text of a job.
pub fn parse(text: &str, step: usize) -> Option<StepPlan> {
    let steps: Value = serde_json::from_str(text).ok()?;
    let row = steps.get(step)?;
    Some(StepPlan {
        count: row["count"].as_u64()? as u32,
        work_ms: row["ms"].as_u64()?,
        cpu: row["cpu"].as_u64()? as u32,
        gang: row["gang"].as_bool()?,
        saves: row["saves"].as_bool()?,
        lasting: row["lasting"].as_bool()?,
        apart: 0,
    })
}
