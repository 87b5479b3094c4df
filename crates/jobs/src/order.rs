//! Whose job is placed next.

use std::collections::HashMap;

use vg_base::prelude::*;

use crate::{Class, LaneView};

/// Chooses the lane whose next job is tried, one job at a time.
pub trait LanePolicy {
    /// Returns a team's weight, above zero.
    fn weight(&self, team: &TeamId) -> f64;

    /// Chooses among lanes that still have jobs to try.
    fn pick(&mut self, lanes: &[LaneView]) -> Option<usize>;

    /// Notes that a job of the lane was placed and takes `part` of the pool.
    fn placed(&mut self, lane: &LaneView, part: f64);
}

/// Part of a round's placements that background jobs get while urgent ones
/// wait.
const BACKGROUND_FLOOR: f64 = 0.05;

/// Weighted max-min by share; urgent jobs by deadline, with a floor for
/// background ones.
#[derive(Debug, Clone, Default)]
pub struct WeightedPolicy {
    shares: HashMap<TeamId, Share>,
    urgent: f64,
    background: f64,
}

impl WeightedPolicy {
    /// Makes an order with each team's share; a team without one counts as 1.
    pub fn new(shares: impl IntoIterator<Item = (TeamId, Share)>) -> WeightedPolicy {
        WeightedPolicy { shares: shares.into_iter().collect(), ..WeightedPolicy::default() }
    }

    /// Sets each team's share; a team without one counts as 1.
    pub fn set_shares(&mut self, shares: impl IntoIterator<Item = (TeamId, Share)>) {
        self.shares = shares.into_iter().collect();
    }

    /// Of teams that are below the middle level the earliest deadline goes
    /// first; a team that claims tight deadlines can't pass that level by it.
    fn pick_urgent(&self, lanes: &[LaneView]) -> Option<usize> {
        let middle = middle(lanes);
        let rank = |view: &LaneView| {
            (view.weighted_usage() > middle, view.start_by.is_none(), view.start_by)
        };
        let urgent = lanes.iter().enumerate().filter(|(_, view)| view.lane.class == Class::Urgent);
        urgent.min_by_key(|(_, view)| rank(view)).map(|(at, _)| at)
    }

    fn pick_background(&self, lanes: &[LaneView]) -> Option<usize> {
        let background =
            lanes.iter().enumerate().filter(|(_, view)| view.lane.class == Class::Background);
        background
            .min_by(|a, b| a.1.weighted_usage().total_cmp(&b.1.weighted_usage()))
            .map(|(at, _)| at)
    }
}

/// Returns the middle between the highest and lowest level of urgent lanes.
fn middle(lanes: &[LaneView]) -> f64 {
    let urgent = lanes.iter().filter(|view| view.lane.class == Class::Urgent);
    let (low, high) = urgent
        .map(LaneView::weighted_usage)
        .fold((f64::MAX, 0.0_f64), |(low, high), level| (low.min(level), high.max(level)));
    (low + high) / 2.0
}

impl LanePolicy for WeightedPolicy {
    fn weight(&self, team: &TeamId) -> f64 {
        self.shares.get(team).map_or(1.0, |share| f64::from(share.get().max(1)))
    }

    fn pick(&mut self, lanes: &[LaneView]) -> Option<usize> {
        let starved = self.background < BACKGROUND_FLOOR * (self.urgent + self.background);
        if starved {
            self.pick_background(lanes).or_else(|| self.pick_urgent(lanes))
        } else {
            self.pick_urgent(lanes).or_else(|| self.pick_background(lanes))
        }
    }

    fn placed(&mut self, lane: &LaneView, part: f64) {
        match lane.lane.class {
            Class::Urgent => self.urgent += part,
            Class::Background => self.background += part,
        }
        // Only the recent past counts, or a long quiet time would be a credit.
        if self.urgent + self.background > 1.0 {
            self.urgent /= 2.0;
            self.background /= 2.0;
        }
    }
}
