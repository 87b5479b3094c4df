//! Whether the leader may go on while its lease is not confirmed.

use std::sync::Arc;

use vg_base::prelude::*;

use super::{EXPIRED_LEASE_GRACE, Leader};
use crate::Platform;
use crate::host::lock;

/// Age from which the peers' last report of a store outage is ignored.
const OUTAGE_REPORT_MAX_AGE: Duration = Duration::from_millis(1200);
/// Interval at which peers are asked whether they reach the store.
const OUTAGE_POLL_INTERVAL: Duration = Duration::from_millis(300);

impl<P: Platform, C: Clock> Leader<P, C> {
    /// Whether this host may still send commands as the leader: the lease under which it was
    /// proved to lead has not been expired for longer than [`EXPIRED_LEASE_GRACE`], or no
    /// other host can take over.
    pub(super) fn may_act(&self) -> bool {
        let lasts = self.host.inner.options.lease_ttl() + EXPIRED_LEASE_GRACE;
        let age = self.proved_at().map(|at| at.age(&self.host.inner.clock));
        age.is_some_and(|age| age <= lasts) || self.is_store_outage()
    }

    /// Whether this host may still start tasks as the leader: its leadership is proved, or no
    /// other host can take over. After that it only keeps what runs: a worker that has started
    /// again has seen no token, so it would obey two leaders.
    pub(super) fn may_start(&self) -> bool {
        let ttl = self.host.inner.options.lease_ttl();
        let age = self.proved_at().map(|at| at.age(&self.host.inner.clock));
        age.is_some_and(|age| age <= ttl) || self.is_store_outage()
    }

    /// Returns when this host was last proved to lead: another lease of its own proves
    /// nothing.
    fn proved_at(&self) -> Option<DualInstant> {
        let mut confirmed = lock(&self.lease_confirmed);
        if *lock(&self.host.inner.lease) == Some(*lock(&self.lease)) {
            *confirmed = *lock(&self.host.inner.lease_confirmed);
        }
        *confirmed
    }

    /// Returns the time beyond which no worker's lease may last; `None` if no other host can
    /// take over. The store may have ended the leader's lease right after it was last
    /// confirmed, and the next leader counts on leases that are renewed for
    /// [`EXPIRED_LEASE_GRACE`] after that.
    pub(super) fn lease_limit(&self, now: Instant) -> Option<Instant> {
        if self.is_store_outage() {
            return None;
        }
        let lasts = EXPIRED_LEASE_GRACE + self.host.inner.options.rules.lease;
        let age = self.proved_at().map_or(lasts, |at| at.age(&self.host.inner.clock));
        Some(now + lasts.saturating_sub(age))
    }

    /// Whether all peers recently reported that they do not reach the store.
    ///
    /// No other host can take the leadership during such an outage, so this
    /// host may continue with the work that it knows.
    fn is_store_outage(&self) -> bool {
        let reported = *lock(&self.outage_reported);
        reported.is_some_and(|at| at.age(&self.host.inner.clock) < OUTAGE_REPORT_MAX_AGE)
    }

    /// Asks peers whether they reach the store, once half of the lease has
    /// passed without a confirmed renewal.
    pub(super) async fn watch_outage(self: Arc<Self>) {
        let lease = self.host.inner.options.lease_ttl();
        loop {
            tokio::time::sleep(OUTAGE_POLL_INTERVAL).await;
            if self.host.expired_for_ttl(lease / 2).is_zero() {
                continue;
            }
            self.spawn(Arc::clone(&self).ask_peers());
        }
    }

    /// Asks peers whether they reach the store. It also tells them that this leader is
    /// alive, so they are asked again although one of them may not answer.
    async fn ask_peers(self: Arc<Self>) {
        let asked = DualInstant::now(&self.host.inner.clock);
        if self.host.peers_lost_store().await {
            *lock(&self.outage_reported) = Some(asked);
        }
    }
}
