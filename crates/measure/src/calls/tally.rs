//! What a run counted.

use std::collections::HashSet;

use super::shares::ShareErrors;
use super::site::Site;

/// Calls sent and answered on time.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Count {
    pub(crate) sent: usize,
    pub(crate) on_time: usize,
}

impl Count {
    pub(crate) fn on_time_part(&self) -> f64 {
        self.on_time as f64 / self.sent.max(1) as f64
    }
}

/// One team's figures.
#[derive(Debug, Clone)]
pub(crate) struct TeamLine {
    pub(crate) name: String,
    pub(crate) share: u32,
    pub(crate) used: f64,
    pub(crate) due: f64,
    pub(crate) error: f64,
    /// Part of its urgent calls on time, if it sent any.
    pub(crate) on_time: Option<f64>,
}

/// What a run counted.
#[derive(Debug)]
pub(crate) struct Tally {
    pub(crate) urgent: Count,
    pub(crate) background: Count,
    pub(crate) urgent_teams: Vec<Count>,
    /// Urgent calls answered on time, as places in time, team and queue.
    pub(crate) urgent_on_time: HashSet<CallName>,
    pub(crate) refused_early: usize,
    pub(crate) refused_waiting: usize,
    pub(crate) late: usize,
    /// Slot time used and offered while calls waited, in slot-steps.
    pub(crate) busy: f64,
    pub(crate) offered: f64,
    /// Slot time of calls that were answered on time, and of all that ran.
    pub(crate) useful: f64,
    pub(crate) spent: f64,
    pub(crate) errors: ShareErrors,
}

/// Names a call over runs of the same trace, whatever else is in it.
pub(crate) type CallName = (std::time::Duration, usize, usize);

impl Tally {
    pub(crate) fn new(site: &Site) -> Tally {
        let weights = site.teams.iter().map(|team| f64::from(team.share)).collect();
        Tally {
            urgent: Count::default(),
            background: Count::default(),
            urgent_teams: vec![Count::default(); site.teams.len()],
            urgent_on_time: HashSet::new(),
            refused_early: 0,
            refused_waiting: 0,
            late: 0,
            busy: 0.0,
            offered: 0.0,
            useful: 0.0,
            spent: 0.0,
            errors: ShareErrors::new(site.slots(), weights),
        }
    }

    /// Returns how many of the urgent calls that `alone` answered on time were
    /// on time here too.
    pub(crate) fn carriable(&self, alone: &Tally) -> Count {
        let on_time = alone.urgent_on_time.intersection(&self.urgent_on_time).count();
        Count { sent: alone.urgent_on_time.len(), on_time }
    }

    /// Returns the part of the slots in use while calls waited.
    pub(crate) fn use_part(&self) -> f64 {
        self.busy / self.offered.max(1.0)
    }

    /// Returns the part of the used slot time that went into calls that were
    /// answered on time.
    pub(crate) fn useful_part(&self) -> f64 {
        self.useful / self.spent.max(f64::MIN_POSITIVE)
    }

    /// Returns each team's figures.
    pub(crate) fn teams(&self, site: &Site) -> Vec<TeamLine> {
        let teams = site.teams.iter().enumerate();
        teams
            .map(|(at, team)| {
                let (used, due) = self.errors.totals(at);
                TeamLine {
                    name: team.id.to_string(),
                    share: team.share,
                    used,
                    due,
                    error: self.errors.of_team(at),
                    on_time: (self.urgent_teams[at].sent > 0)
                        .then(|| self.urgent_teams[at].on_time_part()),
                }
            })
            .collect()
    }
}
