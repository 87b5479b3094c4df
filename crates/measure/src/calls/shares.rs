//! How near each team comes to its share.

/// Length of a window in which errors are taken, in steps.
const WINDOW_STEPS: usize = 1000;

/// Divides `total` by weighted max-min: nobody gets more than it wants, and
/// what one leaves goes to the others in proportion to their weights.
pub(crate) fn max_min(total: f64, wants: &[f64], weights: &[f64]) -> Vec<f64> {
    let mut due = vec![0.0; wants.len()];
    let mut left = total;
    let mut open: Vec<usize> = (0..wants.len()).collect();
    while !open.is_empty() && left > 0.0 {
        let weight: f64 = open.iter().map(|&at| weights[at]).sum();
        let part = left / weight;
        let (met, unmet): (Vec<usize>, Vec<usize>) =
            open.iter().partition(|&&at| wants[at] <= part * weights[at]);
        if met.is_empty() {
            unmet.iter().for_each(|&at| due[at] = part * weights[at]);
            break;
        }
        for at in met {
            due[at] = wants[at];
            left -= wants[at];
        }
        open = unmet;
    }
    due
}

/// Errors of shares in windows of 10 s while the pool was full throughout.
///
/// Each step of 10 ms compares the slots that a team has with those that are
/// due to it by weighted max-min over all that want slots at that moment. The
/// differences are summed over the window: what was lent and paid back within
/// it is no error.
#[derive(Debug)]
pub(crate) struct ShareErrors {
    slots: f64,
    weights: Vec<f64>,
    used: Vec<f64>,
    due: Vec<f64>,
    steps: usize,
    full: bool,
    windows: Vec<Vec<f64>>,
    total_used: Vec<f64>,
    total_due: Vec<f64>,
}

impl ShareErrors {
    pub(crate) fn new(slots: usize, weights: Vec<f64>) -> ShareErrors {
        let zero = vec![0.0; weights.len()];
        ShareErrors {
            slots: slots as f64,
            weights,
            used: zero.clone(),
            due: zero.clone(),
            steps: 0,
            full: true,
            windows: Vec::new(),
            total_used: zero.clone(),
            total_due: zero,
        }
    }

    /// Takes in the slots that each team has, and has and waits for.
    pub(crate) fn step(&mut self, running: &[f64], wants: &[f64]) {
        let due = max_min(self.slots, wants, &self.weights);
        self.full &= wants.iter().sum::<f64>() >= self.slots;
        for at in 0..self.used.len() {
            self.used[at] += running[at];
            self.due[at] += due[at];
        }
        self.steps += 1;
        if self.steps == WINDOW_STEPS {
            self.close();
        }
    }

    /// Returns the mean over windows and teams, in parts of the pool.
    pub(crate) fn mean(&self) -> f64 {
        mean(self.windows.iter().flatten().copied())
    }

    /// Returns the mean over windows of one team.
    pub(crate) fn of_team(&self, team: usize) -> f64 {
        mean(self.windows.iter().map(|window| window[team]))
    }

    /// Returns the largest mean of a team.
    pub(crate) fn worst_team(&self) -> f64 {
        (0..self.weights.len()).map(|team| self.of_team(team)).fold(0.0, f64::max)
    }

    /// Returns the largest error of a team in a window.
    pub(crate) fn worst(&self) -> f64 {
        self.windows.iter().flatten().copied().fold(0.0, f64::max)
    }

    /// Returns the number of full windows.
    pub(crate) fn windows(&self) -> usize {
        self.windows.len()
    }

    /// Returns the parts of the pool that a team used and was due in the full
    /// windows.
    pub(crate) fn totals(&self, team: usize) -> (f64, f64) {
        let all: f64 = self.total_used.iter().sum::<f64>().max(1.0);
        (self.total_used[team] / all, self.total_due[team] / all)
    }

    fn close(&mut self) {
        if self.full {
            let pool = self.slots * self.steps as f64;
            let errors =
                self.used.iter().zip(&self.due).map(|(used, due)| (used - due).abs() / pool);
            self.windows.push(errors.collect());
            for at in 0..self.used.len() {
                self.total_used[at] += self.used[at];
                self.total_due[at] += self.due[at];
            }
        }
        self.used.fill(0.0);
        self.due.fill(0.0);
        self.steps = 0;
        self.full = true;
    }
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = values.fold((0.0, 0), |(sum, count), each| (sum + each, count + 1));
    sum / f64::from(count.max(1))
}
