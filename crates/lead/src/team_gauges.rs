//! Gauges of the teams in contended pools.

use std::collections::HashSet;
use std::sync::{Arc, Mutex};

use prometheus::{Error, GaugeVec, Opts, Registry};
use vg_base::prelude::*;
use vg_flow::{PoolContention, SHARE_UNIT, TeamContention};

use crate::host::lock;

/// Teams of a pool with gauges of their own: those that use most. The others are summed.
const MAX_TEAMS: usize = 50;
/// Label of the sum of the other teams.
const OTHER_TEAMS: &str = "other";
/// Label of jobs without a team.
const NO_TEAM: &str = "none";

/// Share, allocation and usage (in machines) and waiting work (in machine-seconds) of
/// teams by pool.
#[derive(Debug, Clone)]
pub(crate) struct TeamGauges {
    share: GaugeVec,
    allocation: GaugeVec,
    usage: GaugeVec,
    waiting: GaugeVec,
    /// Pools and teams that have gauges.
    shown: Arc<Mutex<HashSet<(SmolStr, SmolStr)>>>,
}

/// Values of one team, or of several.
#[derive(Debug, Clone, Copy, Default)]
struct TeamValues {
    share: f64,
    allocation: f64,
    usage: f64,
    waiting: f64,
}

impl TeamValues {
    fn add(&mut self, team: &TeamContention) {
        self.share += f64::from(team.share.0) / f64::from(SHARE_UNIT);
        self.allocation += team.allocation;
        self.usage += team.usage;
        self.waiting += team.waiting.total();
    }
}

impl TeamGauges {
    /// Creates and registers the gauges.
    pub(crate) fn new(registry: &Registry) -> Result<TeamGauges, Error> {
        let gauge = |name: &str, help: &str| {
            let gauge = GaugeVec::new(Opts::new(name, help), &["pool", "team"])?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, Error>(gauge)
        };
        Ok(TeamGauges {
            share: gauge("vg_team_share", "Share of a team in a contended pool.")?,
            allocation: gauge("vg_team_allocation", "Machines to which a team is entitled.")?,
            usage: gauge("vg_team_usage", "Machines that a team uses in a contended pool.")?,
            waiting: gauge("vg_team_waiting", "Machine-seconds that wait in a contended pool.")?,
            shown: Arc::default(),
        })
    }

    /// Shows the teams of these pools, and no others.
    pub(crate) fn set(&self, pools: &[PoolContention]) {
        let mut labels = HashSet::new();
        for pool in pools {
            for (team, values) in top_teams(pool) {
                self.set_team(&pool.pool, &team, values);
                labels.insert((SmolStr::new(pool.pool.as_str()), team));
            }
        }
        let mut shown = lock(&self.shown);
        for (pool, team) in shown.difference(&labels) {
            self.remove(pool, team);
        }
        *shown = labels;
    }

    fn set_team(&self, pool: &PoolId, team: &str, values: TeamValues) {
        let set = |gauge: &GaugeVec, value: f64| {
            gauge.with_label_values(&[pool.as_str(), team]).set(value);
        };
        set(&self.share, values.share);
        set(&self.allocation, values.allocation);
        set(&self.usage, values.usage);
        set(&self.waiting, values.waiting);
    }

    fn remove(&self, pool: &str, team: &str) {
        for gauge in [&self.share, &self.allocation, &self.usage, &self.waiting] {
            if let Err(error) = gauge.remove_label_values(&[pool, team]) {
                log::warn!(target: "metrics", "a gauge of {pool} and {team} stays: {error}");
            }
        }
    }
}

/// Returns the teams of a pool that use most, and the sum of the others.
fn top_teams(pool: &PoolContention) -> Vec<(SmolStr, TeamValues)> {
    let mut teams: Vec<_> = pool.teams.iter().collect();
    teams.sort_by(|a, b| b.usage.total_cmp(&a.usage));
    let mut values: Vec<(SmolStr, TeamValues)> = Vec::new();
    for (at, team) in teams.into_iter().enumerate() {
        if at <= MAX_TEAMS {
            let own = at < MAX_TEAMS;
            let label = if own { team_label(team.team.as_ref()) } else { OTHER_TEAMS };
            values.push((label.into(), TeamValues::default()));
        }
        if let Some((_, last)) = values.last_mut() {
            last.add(team);
        }
    }
    values
}

/// Returns the name of a team in metrics and events; `none` for jobs without one.
pub(crate) fn team_label(team: Option<&TeamId>) -> &str {
    team.map_or(NO_TEAM, TeamId::as_str)
}
