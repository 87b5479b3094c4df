//! Measures how much the slots of each team differ from its fair share.

/// Length of a window over which errors are measured, in steps of 10 ms.
const WINDOW_STEPS: usize = 1000;

/// Divides `total` by weighted max-min fairness: no team gets more than it wants, and what
/// these teams leave is divided among the others in proportion to their weights.
pub(crate) fn max_min(total: f64, wants: &[f64], weights: &[f64]) -> Vec<f64> {
    let mut entitled = vec![0.0; wants.len()];
    let mut left = total;
    let mut unsatisfied: Vec<usize> = (0..wants.len()).collect();
    while !unsatisfied.is_empty() && left > 0.0 {
        let weight: f64 = unsatisfied.iter().map(|&team| weights[team]).sum();
        let per_weight = left / weight;
        let (satisfied, rest): (Vec<usize>, Vec<usize>) =
            unsatisfied.iter().partition(|&&team| wants[team] <= per_weight * weights[team]);
        if satisfied.is_empty() {
            rest.iter().for_each(|&team| entitled[team] = per_weight * weights[team]);
            break;
        }
        for team in satisfied {
            entitled[team] = wants[team];
            left -= wants[team];
        }
        unsatisfied = rest;
    }
    entitled
}

/// The share errors in windows of 10 s in which the pool was always full.
///
/// Each step of 10 ms compares the slots that a team uses with those that it is entitled to
/// by weighted max-min fairness over the teams that want slots at that time. The differences
/// are summed over the window, so that slots which a team lends and gets back within a
/// window cause no error.
#[derive(Debug)]
pub(crate) struct ShareErrors {
    slots: f64,
    weights: Vec<f64>,
    /// Slot-steps that each team used in the current window.
    used: Vec<f64>,
    /// Slot-steps that each team was entitled to in the current window.
    entitled: Vec<f64>,
    steps: usize,
    full: bool,
    /// Errors of the teams in each full window, as fractions of the pool.
    windows: Vec<Vec<f64>>,
    total_used: Vec<f64>,
    total_entitled: Vec<f64>,
}

impl ShareErrors {
    pub(crate) fn new(slots: usize, weights: Vec<f64>) -> ShareErrors {
        let zero = vec![0.0; weights.len()];
        ShareErrors {
            slots: slots as f64,
            weights,
            used: zero.clone(),
            entitled: zero.clone(),
            steps: 0,
            full: true,
            windows: Vec::new(),
            total_used: zero.clone(),
            total_entitled: zero,
        }
    }

    /// Records a step. `running` has the slots that each team uses, `wants` those that it uses
    /// or waits for.
    pub(crate) fn step(&mut self, running: &[f64], wants: &[f64]) {
        let entitled = max_min(self.slots, wants, &self.weights);
        self.full &= wants.iter().sum::<f64>() >= self.slots;
        for team in 0..self.used.len() {
            self.used[team] += running[team];
            self.entitled[team] += entitled[team];
        }
        self.steps += 1;
        if self.steps == WINDOW_STEPS {
            self.close_window();
        }
    }

    /// Returns the mean error over windows and teams, as a fraction of the pool.
    pub(crate) fn mean(&self) -> f64 {
        mean(self.windows.iter().flatten().copied())
    }

    /// Returns the mean error of one team over the windows.
    pub(crate) fn team_mean(&self, team: usize) -> f64 {
        mean(self.windows.iter().map(|window| window[team]))
    }

    /// Returns the largest mean error of a team.
    pub(crate) fn worst_team(&self) -> f64 {
        (0..self.weights.len()).map(|team| self.team_mean(team)).fold(0.0, f64::max)
    }

    /// Returns the largest error of a team in a window.
    pub(crate) fn worst_window(&self) -> f64 {
        self.windows.iter().flatten().copied().fold(0.0, f64::max)
    }

    /// Returns the number of full windows.
    pub(crate) fn full_windows(&self) -> usize {
        self.windows.len()
    }

    /// Returns the fractions of the pool that a team used and was entitled to in the full
    /// windows.
    pub(crate) fn totals(&self, team: usize) -> (f64, f64) {
        let all: f64 = self.total_used.iter().sum::<f64>().max(1.0);
        (self.total_used[team] / all, self.total_entitled[team] / all)
    }

    /// Ends the current window and records its errors if the pool was always full.
    fn close_window(&mut self) {
        if self.full {
            let pool = self.slots * self.steps as f64;
            let errors = self
                .used
                .iter()
                .zip(&self.entitled)
                .map(|(used, entitled)| (used - entitled).abs() / pool);
            self.windows.push(errors.collect());
            for team in 0..self.used.len() {
                self.total_used[team] += self.used[team];
                self.total_entitled[team] += self.entitled[team];
            }
        }
        self.used.fill(0.0);
        self.entitled.fill(0.0);
        self.steps = 0;
        self.full = true;
    }
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = values.fold((0.0, 0), |(sum, count), each| (sum + each, count + 1));
    sum / f64::from(count.max(1))
}
