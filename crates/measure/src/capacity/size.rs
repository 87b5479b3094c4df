//! The size of a measured site.

use std::str::FromStr;

use derive_more::Display;

/// The size of a measured site.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display("{nodes} nodes, {pools} pools, {teams} teams, {} workers", self.total_workers())]
pub(super) struct Size {
    /// Number of entry hosts.
    pub(super) nodes: u32,
    /// Number of pools, each with two queues.
    pub(super) pools: u32,
    /// Number of teams, each with a plan and a key.
    pub(super) teams: u32,
    /// Number of workers per pool.
    pub(super) workers: u32,
}

impl Size {
    /// Returns the number of workers of all pools.
    pub(super) fn total_workers(&self) -> u32 {
        self.pools * self.workers
    }
}

impl FromStr for Size {
    type Err = String;

    fn from_str(text: &str) -> Result<Size, String> {
        let parts: Result<Vec<u32>, _> = text.split(',').map(str::parse).collect();
        match parts.as_deref() {
            Ok(&[nodes, pools, teams, workers]) => Ok(Size { nodes, pools, teams, workers }),
            _ => {
                Err("expected four whole numbers separated by commas, such as 9,27,30,4".to_owned())
            }
        }
    }
}
