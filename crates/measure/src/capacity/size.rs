//! The size of a site.

use std::str::FromStr;

use derive_more::Display;

/// The size of a site.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display("{nodes} nodes, {pools} pools, {teams} teams, {} workers", self.hosts())]
pub(super) struct Size {
    /// Entry hosts.
    pub(super) nodes: u32,
    /// Pools, each with two queues.
    pub(super) pools: u32,
    /// Teams, each with a plan and a key.
    pub(super) teams: u32,
    /// Workers in each pool.
    pub(super) workers: u32,
}

impl Size {
    /// Returns the workers of all pools.
    pub(super) fn hosts(&self) -> u32 {
        self.pools * self.workers
    }
}

impl FromStr for Size {
    type Err = String;

    fn from_str(text: &str) -> Result<Size, String> {
        let parts: Result<Vec<u32>, _> = text.split(',').map(str::parse).collect();
        match parts.as_deref() {
            Ok(&[nodes, pools, teams, workers]) => Ok(Size { nodes, pools, teams, workers }),
            _ => Err("four whole numbers with commas are accepted, as 9,27,30,4".to_owned()),
        }
    }
}
