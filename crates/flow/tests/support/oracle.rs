//! The oracle: what must hold at each start, by what is stored and by what the workers do.

use std::sync::Arc;

use vg_flow::{AttemptOutcome, StartCommand, StepId, TaskId};

use super::spec::CORES;
use super::world::{START_LIMIT_MS, StoredJob, World, zone_of};

impl World {
    /// Records an acknowledged end.
    pub(super) fn record_end(&mut self, task: TaskId, outcome: AttemptOutcome, expired: bool) {
        match outcome {
            AttemptOutcome::Done if !expired => _ = self.acknowledged_done.insert(task),
            AttemptOutcome::Failed => *self.acknowledged_failures.entry(task).or_default() += 1,
            _ => {}
        }
    }

    /// Checks the invariants of a start.
    pub(super) fn check_start(&mut self, at: usize, start: &StartCommand, speculative: bool) {
        let task = start.task;
        let stored = self.store[&task.step.job].clone();
        let ms = self.ms;
        let elsewhere = self.workers.iter().enumerate().any(|(other, worker)| {
            other != at && worker.up && worker.running.iter().any(|attempt| attempt.task == task)
        });
        if elsewhere && !speculative {
            self.violations.push(format!("{ms}: {task} runs twice"));
        }
        if self.acknowledged_done.contains(&task) && !speculative {
            self.violations.push(format!("{ms}: {task} started after it was done"));
        }
        self.check_step_order(start);
        let failures = self.acknowledged_failures.get(&task).copied().unwrap_or_default();
        if failures >= 3 && !stored.spec.steps[usize::from(task.step.step)].continuous {
            self.violations.push(format!("{ms}: {task} started after {failures} failures"));
        }
        let zone = zone_of(&self.workers[at].machine);
        if self.drained.get(&zone).is_some_and(|&since| ms > since + START_LIMIT_MS) {
            self.violations.push(format!("{ms}: {task} started in {zone}, which is drained"));
        }
        let worker = &self.workers[at];
        if !worker.used().fits(&worker.capacity) {
            self.violations.push(format!("{ms}: {} uses more than its capacity", worker.id));
        }
        let spec = &stored.spec.steps[usize::from(task.step.step)];
        if let Some(max_tasks) = spec.per_worker {
            let here =
                worker.running.iter().filter(|attempt| attempt.task.step == task.step).count();
            if here as u32 > max_tasks {
                self.violations.push(format!("{ms}: {} has {here} of {}", worker.id, task.step));
            }
        }
        self.check_limit(&stored);
    }

    /// Checks that the steps that the started task depends on are done, and
    /// that the attempt's number is higher than those of all earlier attempts
    /// of the task.
    pub(super) fn check_step_order(&mut self, start: &StartCommand) {
        let task = start.task;
        let spec = Arc::clone(&self.store[&task.step.job].spec);
        for &before in &spec.steps[usize::from(task.step.step)].after {
            let step = StepId { step: before, ..task.step };
            let all = 0..spec.steps[usize::from(before)].count;
            let left = all.filter(|&index| !self.done.contains(&TaskId { step, index })).count();
            if left > 0 {
                self.violations
                    .push(format!("{}: {task} started before {left} of {step}", self.ms));
            }
        }
        let highest = self.highest_attempts.entry(task).or_default();
        if start.attempt <= *highest {
            self.violations
                .push(format!("{}: {task} attempt {} after {highest}", self.ms, start.attempt));
        }
        *highest = (*highest).max(start.attempt);
    }

    /// Checks the team's limit, with a tolerance of a tenth of the limit and of
    /// one more task, as the platform allows. A task has at most the cores of a
    /// worker.
    pub(super) fn check_limit(&mut self, stored: &StoredJob) {
        let Some(team) = &stored.spec.team else { return };
        // A team that is not configured any more has the limit on which the job was accepted.
        let accepted = stored.spec.terms.as_ref().and_then(|terms| terms.team.as_ref());
        let Some(team_terms) = self.config.present_team(team).or(accepted) else { return };
        let limit = team_terms.limit.cores.0;
        let running = self.workers.iter().filter(|worker| worker.up).flat_map(|w| &w.running);
        let mut cores = 0;
        for attempt in running {
            let spec = &self.store[&attempt.task.step.job].spec;
            if spec.team.as_ref() != Some(team) {
                continue;
            }
            cores += spec.steps[usize::from(attempt.task.step.step)].need.cores.0;
        }
        if limit > 0 && cores > limit + limit / 10 + CORES {
            self.violations.push(format!("{}: {team} has {cores} of {limit}", self.ms));
        }
    }
}
