//! What an earlier leader may have left running out of sight.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

use crate::{Flow, Life};

/// A life that may have been given work, as it is recorded for a next leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LifeRecord {
    /// The life.
    pub life: Life,
    /// Wall time after which nothing can run there; none while its lease may
    /// be renewed.
    pub over: Option<SystemTime>,
}

/// Lives that have not answered since this leader took over. Tasks of jobs that
/// were there before may be running on them.
#[derive(Debug, Default)]
pub(crate) struct Doubt {
    lives: HashMap<HostId, Doubted>,
}

#[derive(Debug, Clone)]
struct Doubted {
    life: Life,
    until: Instant,
}

impl Doubt {
    /// Whether a pool has such a life.
    pub(crate) fn covers(&self, pool: &PoolId) -> bool {
        self.lives.values().any(|doubted| doubted.life.pool == *pool)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.lives.is_empty()
    }

    /// Returns when nothing can run any more on a worker that is doubted.
    pub(crate) fn until(&self, id: &HostId) -> Option<Instant> {
        self.lives.get(id).map(|doubted| doubted.until)
    }
}

impl Flow {
    /// Notes a life that an earlier leader may have given work. Nothing that it
    /// was given can run after `until`, or after the time on record.
    pub fn suspect(&mut self, record: &LifeRecord, until: Instant, now: Instant, wall: SystemTime) {
        let left = record.over.map(|over| over.duration_since(wall).unwrap_or_default());
        let until = left.map_or(until, |left| until.min(now + left));
        let life = record.life.clone();
        self.doubt.lives.insert(life.id.clone(), Doubted { life, until });
    }

    /// Returns the lives that have not answered yet.
    pub fn suspects(&self) -> Vec<Life> {
        self.doubt.lives.values().map(|doubted| doubted.life.clone()).collect()
    }

    /// Returns suspected lives as they are to be kept on record.
    pub(crate) fn doubt_records(&self, now: Instant, wall: SystemTime) -> Vec<LifeRecord> {
        let record = |doubted: &Doubted| LifeRecord {
            life: doubted.life.clone(),
            over: Some(wall + doubted.until.saturating_duration_since(now)),
        };
        self.doubt.lives.values().map(record).collect()
    }

    /// Clears a life that was heard, or whose id has a new life.
    pub(crate) fn clear_doubt(&mut self, id: &HostId) {
        self.doubt.lives.remove(id);
    }

    pub(crate) fn expire_doubt(&mut self, now: Instant) {
        self.doubt.lives.retain(|_, doubted| now < doubted.until);
    }
}
