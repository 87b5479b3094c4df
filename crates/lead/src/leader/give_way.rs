//! Gives the leadership to another host that can carry it better.

use std::sync::Arc;

use vg_base::prelude::*;
use vg_events::{Code, Field};
use vg_store::{Store, StoreRevision, Txn};

use super::Leader;
use crate::Platform;
use crate::host::lock;
use crate::keys::{LEADER_KEY, TERM_KEY};

/// Interval at which the leader looks for a larger host.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which a larger host is alive before the leadership is handed over.
const LARGER_HOST_TIME: Duration = Duration::from_secs(1);
/// Minimum time between two handovers by one host. The larger host may be alive
/// and unable to lead.
const HANDOVER_INTERVAL: Duration = Duration::from_secs(10);

impl<P: Platform, C: Clock> Leader<P, C> {
    /// Hands the leadership over once a larger host has been alive for
    /// [`LARGER_HOST_TIME`].
    pub(super) async fn give_way_to_larger(self: Arc<Self>) {
        let clock = &self.host.inner.clock;
        let mut larger_since: Option<Instant> = None;
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let now = clock.now();
            if !self.host.has_larger_peer() || !self.host.is_lease_valid() {
                larger_since = None;
                continue;
            }
            let since = *larger_since.get_or_insert(now);
            let gave_up = *lock(&self.host.inner.gave_up);
            let recently =
                gave_up.is_some_and(|at| now.saturating_duration_since(at) < HANDOVER_INTERVAL);
            if now.saturating_duration_since(since) >= LARGER_HOST_TIME && !recently {
                *lock(&self.host.inner.gave_up) = Some(now);
                self.hand_over("a larger host is alive").await;
                return;
            }
        }
    }

    /// Deletes the leader key, so that another host takes over at once. If that
    /// fails, others can take over when the key's lease ends or this host claims
    /// again.
    pub(super) async fn release(&self, reason: &str) {
        *lock(&self.host.inner.gave_up) = Some(self.host.inner.clock.now());
        let txn = Txn::new()
            .expect(TERM_KEY, Some(StoreRevision(self.token.0 as i64)))
            .delete(LEADER_KEY);
        if let Err(error) = self.host.store().commit(txn).await {
            let fields = [Field::new("call", "release"), Field::new("cause", error)];
            self.host.record(Code::StoreFailed, fields);
        }
        self.end_leadership(reason);
    }
}
