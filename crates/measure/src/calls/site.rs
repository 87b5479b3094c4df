//! The simulated deployments, with one pool each.

use std::collections::BTreeMap;
use std::str::FromStr;

use vg_base::prelude::*;
use vg_conf::Class;
use vg_share::{PoolRules, QueueRule};

/// Number of calls that an endpoint runs at once.
const SLOTS_PER_ENDPOINT: usize = 8;
/// Limit of waiting calls per queue. The limit is too high to take effect, because shares and
/// deadlines should decide here.
const MAX_WAITING: u32 = 20_000;
/// Percentage of the pool that background calls may always use.
const FLOOR_PERCENT: u32 = 5;
/// Time for which the pool may serve urgent calls beyond the shares of their teams.
const URGENT_CREDIT: Duration = Duration::from_secs(2);

/// A simulated team.
#[derive(Debug, Clone)]
pub(crate) struct Team {
    pub(crate) id: TeamId,
    pub(crate) share: u32,
    /// Fraction of all calls that the team sends.
    pub(crate) volume: f64,
}

/// A simulated queue.
#[derive(Debug, Clone)]
pub(crate) struct Queue {
    pub(crate) id: QueueId,
    pub(crate) class: Class,
    pub(crate) deadline: Duration,
    pub(crate) max_waiting: u32,
    /// Mean run time of the calls, in seconds.
    pub(crate) service: f64,
    /// Load of a spike as a fraction of the capacity of the pool.
    pub(crate) spike: f64,
}

/// A pool with its teams and queues.
#[derive(Debug, Clone)]
pub(crate) struct Site {
    /// Number of endpoints.
    pub(crate) endpoints: usize,
    pub(crate) zones: usize,
    pub(crate) teams: Vec<Team>,
    pub(crate) queues: Vec<Queue>,
}

impl Site {
    /// Returns the site of a name.
    pub(crate) fn named(name: &str) -> Option<Site> {
        match name {
            "recall" => Some(recall()),
            "signbridge" => Some(signbridge()),
            _ => None,
        }
    }

    /// Returns the site with the urgent queues first, so that their spikes follow each other
    /// directly.
    pub(crate) fn urgent_first(&self) -> Site {
        let mut site = self.clone();
        site.queues.sort_by_key(|queue| queue.class);
        site
    }

    /// Returns the number of slots of the pool.
    pub(crate) fn slots(&self) -> usize {
        self.endpoints * SLOTS_PER_ENDPOINT
    }

    /// Returns the rules of the pool for the scheduler.
    pub(crate) fn rules(&self) -> PoolRules {
        let teams = self.teams.iter().map(|team| (team.id.clone(), Share(team.share)));
        let queues = self.queues.iter().map(|queue| {
            let rule = QueueRule {
                class: queue.class,
                deadline: queue.deadline,
                max_waiting: queue.max_waiting,
                multi_team: true,
            };
            (queue.id.clone(), rule)
        });
        let queues: BTreeMap<QueueId, QueueRule> = queues.collect();
        PoolRules {
            teams: teams.collect(),
            queues,
            floor_percent: FLOOR_PERCENT,
            urgent_credit: URGENT_CREDIT,
        }
    }
}

fn recall() -> Site {
    let teams = [
        ("grocery", 4, 0.38),
        ("bakery", 3, 0.22),
        ("dairy", 3, 0.16),
        ("meat", 3, 0.12),
        ("admin", 2, 0.07),
        ("council", 1, 0.05),
    ];
    let queues = [
        ("notices", Class::Urgent, 3, 0.06, 1.2),
        ("traces", Class::Background, 10, 0.10, 1.2),
        ("withdrawals", Class::Urgent, 3, 0.08, 1.2),
        ("supplier-sync", Class::Background, 30, 0.20, 1.3),
        ("feeds", Class::Background, 60, 0.15, 1.2),
    ];
    site(10, 3, &teams, &queues)
}

fn signbridge() -> Site {
    let teams = [
        ("hospitals", 5, 0.40),
        ("courts", 3, 0.22),
        ("schools", 3, 0.18),
        ("clinics", 2, 0.10),
        ("individuals", 2, 0.06),
        ("back-office", 1, 0.04),
    ];
    let queues = [
        ("confirmations", Class::Urgent, 4, 0.10, 1.2),
        ("bookings", Class::Background, 15, 0.15, 1.2),
        ("requests", Class::Urgent, 4, 0.12, 1.2),
        ("billing", Class::Background, 60, 0.25, 1.3),
        ("reports", Class::Background, 60, 0.30, 1.2),
    ];
    site(12, 4, &teams, &queues)
}

fn site(
    endpoints: usize,
    zones: usize,
    teams: &[(&str, u32, f64)],
    queues: &[(&str, Class, u64, f64, f64)],
) -> Site {
    let teams = teams.iter().filter_map(|&(name, share, volume)| {
        Some(Team { id: TeamId::from_str(name).ok()?, share, volume })
    });
    let queues = queues.iter().filter_map(|&(name, class, deadline, service, spike)| {
        Some(Queue {
            id: QueueId::from_str(name).ok()?,
            class,
            deadline: Duration::from_secs(deadline),
            max_waiting: MAX_WAITING,
            service,
            spike,
        })
    });
    Site { endpoints, zones, teams: teams.collect(), queues: queues.collect() }
}
