//! Transfer counters between this member and one peer.

use std::collections::BTreeMap;

use vg_base::prelude::*;

use crate::faults::PermitFaults;
use crate::{Balance, TransferCounters};

/// The permits transferred between this member and one incarnation of a peer.
///
/// The counters only grow, so that merging the same message again has no effect.
#[derive(Debug, Clone, Default)]
pub(crate) struct PeerCounters {
    /// Permits sent to the peer, by team.
    sent: BTreeMap<TeamId, Sent>,
    /// Permits received from the peer since both members started, by team.
    received: BTreeMap<TeamId, u64>,
    /// Version of `sent`, increased by each transfer to the peer.
    version: u64,
    /// Version of `sent` that the peer has confirmed.
    confirmed_version: u64,
    /// Version of the peer's counters that is merged into `received`.
    received_version: u64,
    /// Whether transfers in both directions are stopped, because the account of
    /// the peer or of this member is closed.
    pub(crate) frozen: bool,
}

/// The permits of one team that were sent to the peer.
#[derive(Debug, Clone, Copy, Default)]
struct Sent {
    /// Permits sent since both members started.
    total: u64,
    /// Version of the counters in which `total` last changed.
    version: u64,
}

impl PeerCounters {
    /// Counts permits as sent to the peer.
    pub(crate) fn record_sent(&mut self, team: &TeamId, permits: Permits) {
        self.version += 1;
        let sent = self.sent.entry(team.clone()).or_default();
        sent.total += u64::from(permits.get());
        sent.version = self.version;
    }

    /// Merges the peer's counters and returns the newly received permits by team.
    pub(crate) fn merge_received<F: PermitFaults>(
        &mut self,
        from: &TransferCounters,
    ) -> Vec<(TeamId, Permits)> {
        self.confirmed_version = self.confirmed_version.max(from.acknowledged.min(self.version));
        self.received_version = self.received_version.max(from.version);
        let mut gained = Vec::new();
        for (team, &sent) in &from.sent {
            let known = self.received.entry(team.clone()).or_default();
            let increase = if F::CREDIT_TWICE { sent } else { sent.saturating_sub(*known) };
            if increase > 0 {
                *known += increase;
                gained.push((team.clone(), Permits(u32::try_from(increase).unwrap_or(u32::MAX))));
            }
        }
        gained
    }

    /// Returns the message to the peer, with the counters that it has not confirmed.
    pub(crate) fn transfers(&self) -> TransferCounters {
        let unconfirmed =
            self.sent.iter().filter(|(_, sent)| sent.version > self.confirmed_version);
        TransferCounters {
            version: self.version,
            acknowledged: self.received_version,
            sent: unconfirmed.map(|(team, sent)| (team.clone(), sent.total)).collect(),
        }
    }

    /// Returns the permits received less those sent, by team, without zeros.
    pub(crate) fn balances(&self) -> BTreeMap<TeamId, Balance> {
        let mut balances: BTreeMap<TeamId, Balance> = BTreeMap::new();
        for (team, &permits) in &self.received {
            *balances.entry(team.clone()).or_default() += to_balance(permits);
        }
        for (team, sent) in &self.sent {
            *balances.entry(team.clone()).or_default() -= to_balance(sent.total);
        }
        balances.retain(|_, balance| *balance != Balance::ZERO);
        balances
    }
}

/// Converts a counter, up to the largest balance.
fn to_balance(permits: u64) -> Balance {
    Balance(i64::try_from(permits).unwrap_or(i64::MAX))
}
