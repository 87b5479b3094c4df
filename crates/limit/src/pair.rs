//! Counters between this member and one peer.

use std::collections::BTreeMap;

use vg_base::prelude::*;

use crate::faults::PermitFaults;
use crate::{Balance, TransferCounters};

/// What passed between this member and one incarnation of a peer.
#[derive(Debug, Clone, Default)]
pub(crate) struct Pair {
    sent: BTreeMap<TeamId, Sent>,
    received: BTreeMap<TeamId, u64>,
    /// Version of `sent`.
    version: u64,
    /// Version of `sent` that the peer has.
    acknowledged: u64,
    /// Version of the peer's counters that is in `received`.
    seen: u64,
    /// The peer's account is closed: nothing passes any more.
    pub(crate) frozen: bool,
}

#[derive(Debug, Clone, Copy, Default)]
struct Sent {
    units: u64,
    version: u64,
}

impl Pair {
    pub(crate) fn send(&mut self, team: &TeamId, units: Units) {
        self.version += 1;
        let sent = self.sent.entry(team.clone()).or_default();
        sent.units += u64::from(units.get());
        sent.version = self.version;
    }

    /// Takes in the peer's counters and returns the growth by team.
    pub(crate) fn receive<F: PermitFaults>(
        &mut self,
        from: &TransferCounters,
    ) -> Vec<(TeamId, Units)> {
        self.acknowledged = self.acknowledged.max(from.seen.min(self.version));
        self.seen = self.seen.max(from.version);
        let mut grown = Vec::new();
        for (team, &sent) in &from.sent {
            let known = self.received.entry(team.clone()).or_default();
            let growth = if F::CREDIT_TWICE { sent } else { sent.saturating_sub(*known) };
            if growth > 0 {
                *known += growth;
                grown.push((team.clone(), Units(u32::try_from(growth).unwrap_or(u32::MAX))));
            }
        }
        grown
    }

    /// Returns the counters that the peer has not acknowledged.
    pub(crate) fn transfers(&self) -> TransferCounters {
        let fresh = self.sent.iter().filter(|(_, sent)| sent.version > self.acknowledged);
        TransferCounters {
            version: self.version,
            seen: self.seen,
            sent: fresh.map(|(team, sent)| (team.clone(), sent.units)).collect(),
        }
    }

    /// Returns received less sent by team, without zeros.
    pub(crate) fn nets(&self) -> BTreeMap<TeamId, Balance> {
        let mut nets: BTreeMap<TeamId, Balance> = BTreeMap::new();
        for (team, &units) in &self.received {
            *nets.entry(team.clone()).or_default() += amount(units);
        }
        for (team, sent) in &self.sent {
            *nets.entry(team.clone()).or_default() -= amount(sent.units);
        }
        nets.retain(|_, net| *net != Balance::ZERO);
        nets
    }
}

fn amount(units: u64) -> Balance {
    Balance(i64::try_from(units).unwrap_or(i64::MAX))
}
