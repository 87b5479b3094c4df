//! Policies that decide from which lane the next job is placed.

use std::collections::HashMap;

use vg_base::prelude::*;

use crate::{Class, LaneView};

/// Chooses the lane whose next job is tried, one job at a time.
pub trait LanePolicy {
    /// Returns the weight of a team. It is above zero.
    fn weight(&self, team: &TeamId) -> f64;

    /// Returns the index of the lane to try next, among lanes that still have jobs
    /// to try.
    fn pick(&mut self, lanes: &[LaneView]) -> Option<usize>;

    /// Records that a job of the lane was placed and takes the fraction `share` of
    /// the pool.
    fn placed(&mut self, lane: &LaneView, share: f64);
}

/// Smallest fraction of the recently placed resources that background jobs get while
/// urgent jobs wait.
const BACKGROUND_MIN_FRACTION: f64 = 0.05;

/// Weighted max-min fairness between teams by their shares. Urgent jobs go first,
/// by deadline, with a minimum fraction for background jobs.
#[derive(Debug, Clone, Default)]
pub struct WeightedPolicy {
    /// Share of each team.
    shares: HashMap<TeamId, Share>,
    /// Fraction of the pool that recent placements gave to urgent jobs.
    urgent: f64,
    /// Fraction of the pool that recent placements gave to background jobs.
    background: f64,
}

impl WeightedPolicy {
    /// Creates a policy with the share of each team. A team without a share counts
    /// as 1.
    pub fn new(shares: impl IntoIterator<Item = (TeamId, Share)>) -> WeightedPolicy {
        WeightedPolicy { shares: shares.into_iter().collect(), ..WeightedPolicy::default() }
    }

    /// Sets the share of each team. A team without a share counts as 1.
    pub fn set_shares(&mut self, shares: impl IntoIterator<Item = (TeamId, Share)>) {
        self.shares = shares.into_iter().collect();
    }

    /// Picks the urgent lane with the earliest deadline among teams that are not
    /// above the midpoint of weighted usage, and only then among the others. A team
    /// that claims tight deadlines therefore can't pass the midpoint by them.
    fn pick_urgent(&self, lanes: &[LaneView]) -> Option<usize> {
        let midpoint = urgent_midpoint(lanes);
        let rank = |view: &LaneView| {
            (view.weighted_usage() > midpoint, view.start_by.is_none(), view.start_by)
        };
        let urgent = lanes.iter().enumerate().filter(|(_, view)| view.lane.class == Class::Urgent);
        urgent.min_by_key(|(_, view)| rank(view)).map(|(index, _)| index)
    }

    /// Picks the background lane whose team has the lowest weighted usage.
    fn pick_background(&self, lanes: &[LaneView]) -> Option<usize> {
        let background =
            lanes.iter().enumerate().filter(|(_, view)| view.lane.class == Class::Background);
        background
            .min_by(|a, b| a.1.weighted_usage().total_cmp(&b.1.weighted_usage()))
            .map(|(index, _)| index)
    }
}

/// Returns the midpoint between the highest and the lowest weighted usage of urgent
/// lanes.
fn urgent_midpoint(lanes: &[LaneView]) -> f64 {
    let urgent = lanes.iter().filter(|view| view.lane.class == Class::Urgent);
    let (low, high) = urgent
        .map(LaneView::weighted_usage)
        .fold((f64::MAX, 0.0_f64), |(low, high), usage| (low.min(usage), high.max(usage)));
    (low + high) / 2.0
}

impl LanePolicy for WeightedPolicy {
    fn weight(&self, team: &TeamId) -> f64 {
        self.shares.get(team).map_or(1.0, |share| f64::from(share.get().max(1)))
    }

    fn pick(&mut self, lanes: &[LaneView]) -> Option<usize> {
        let starved = self.background < BACKGROUND_MIN_FRACTION * (self.urgent + self.background);
        if starved {
            self.pick_background(lanes).or_else(|| self.pick_urgent(lanes))
        } else {
            self.pick_urgent(lanes).or_else(|| self.pick_background(lanes))
        }
    }

    fn placed(&mut self, lane: &LaneView, share: f64) {
        match lane.lane.class {
            Class::Urgent => self.urgent += share,
            Class::Background => self.background += share,
        }
        // Only recent placements count. Otherwise a long time without jobs of one
        // class would give that class a credit.
        if self.urgent + self.background > 1.0 {
            self.urgent /= 2.0;
            self.background /= 2.0;
        }
    }
}
