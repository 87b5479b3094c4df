//! The figures of one run.

use std::collections::HashSet;

use super::shares::ShareErrors;
use super::site::Site;

/// Number of calls that were sent and that were answered on time.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Count {
    pub(crate) sent: usize,
    pub(crate) on_time: usize,
}

impl Count {
    /// Returns the fraction of the calls that were answered on time.
    pub(crate) fn on_time_fraction(&self) -> f64 {
        self.on_time as f64 / self.sent.max(1) as f64
    }
}

/// The figures of one team.
#[derive(Debug, Clone)]
pub(crate) struct TeamLine {
    pub(crate) name: String,
    pub(crate) share: u32,
    /// Fraction of the pool that the team used in full windows.
    pub(crate) used: f64,
    /// Fraction of the pool that the team was entitled to in full windows.
    pub(crate) entitled: f64,
    /// Mean share error over the full windows.
    pub(crate) error: f64,
    /// Fraction of the team's urgent calls that were answered on time, if it sent any.
    pub(crate) on_time: Option<f64>,
}

/// The figures of one run.
#[derive(Debug)]
pub(crate) struct Tally {
    pub(crate) urgent: Count,
    pub(crate) background: Count,
    /// Counts of urgent calls by team.
    pub(crate) urgent_teams: Vec<Count>,
    /// The urgent calls that were answered on time.
    pub(crate) urgent_on_time: HashSet<CallKey>,
    /// Calls that were refused on arrival.
    pub(crate) refused_on_arrival: usize,
    /// Calls that were refused after they had waited.
    pub(crate) refused_waiting: usize,
    /// Calls that were answered after their deadline.
    pub(crate) late: usize,
    /// Slots in use while calls waited, summed over the samples.
    pub(crate) used_slots: f64,
    /// All slots while calls waited, summed over the samples.
    pub(crate) total_slots: f64,
    /// Slot time of calls that were answered on time, in seconds.
    pub(crate) useful_time: f64,
    /// Slot time of all calls that ran, in seconds.
    pub(crate) spent_time: f64,
    pub(crate) errors: ShareErrors,
}

/// Identifies a call by arrival, team and queue. Unlike the index of a call, it is the same in
/// a trace without background calls.
pub(crate) type CallKey = (std::time::Duration, usize, usize);

impl Tally {
    pub(crate) fn new(site: &Site) -> Tally {
        let weights = site.teams.iter().map(|team| f64::from(team.share)).collect();
        Tally {
            urgent: Count::default(),
            background: Count::default(),
            urgent_teams: vec![Count::default(); site.teams.len()],
            urgent_on_time: HashSet::new(),
            refused_on_arrival: 0,
            refused_waiting: 0,
            late: 0,
            used_slots: 0.0,
            total_slots: 0.0,
            useful_time: 0.0,
            spent_time: 0.0,
            errors: ShareErrors::new(site.slots(), weights),
        }
    }

    /// Counts the urgent calls that were answered on time in a run without background calls,
    /// and those of them that were answered on time in this run.
    pub(crate) fn feasible(&self, urgent_alone: &Tally) -> Count {
        let on_time = urgent_alone.urgent_on_time.intersection(&self.urgent_on_time).count();
        Count { sent: urgent_alone.urgent_on_time.len(), on_time }
    }

    /// Returns the fraction of the slots that were in use while calls waited.
    pub(crate) fn use_fraction(&self) -> f64 {
        self.used_slots / self.total_slots.max(1.0)
    }

    /// Returns the fraction of the spent slot time that calls answered on time took.
    pub(crate) fn useful_fraction(&self) -> f64 {
        self.useful_time / self.spent_time.max(f64::MIN_POSITIVE)
    }

    /// Returns the figures of each team.
    pub(crate) fn teams(&self, site: &Site) -> Vec<TeamLine> {
        let teams = site.teams.iter().enumerate();
        teams
            .map(|(index, team)| {
                let (used, entitled) = self.errors.totals(index);
                TeamLine {
                    name: team.id.to_string(),
                    share: team.share,
                    used,
                    entitled,
                    error: self.errors.team_mean(index),
                    on_time: (self.urgent_teams[index].sent > 0)
                        .then(|| self.urgent_teams[index].on_time_fraction()),
                }
            })
            .collect()
    }
}
