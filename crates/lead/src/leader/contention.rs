//! Shows operators the teams in contended pools.

use std::sync::Arc;

use vg_base::prelude::*;
use vg_events::{Code, Field};
use vg_flow::ShareChange;

use super::Leader;
use crate::Platform;
use crate::team_gauges::team_label;

/// Interval at which gauges and events of contended pools are updated.
const SHOW_INTERVAL: Duration = Duration::from_millis(500);

impl<P: Platform, C: Clock> Leader<P, C> {
    /// Keeps the gauges of contended pools up to date, and records which teams come
    /// above their allocation.
    pub(super) async fn show_contention(self: Arc<Self>) {
        loop {
            tokio::time::sleep(SHOW_INTERVAL).await;
            let (pools, changes) = {
                let mut scheduler = self.scheduler();
                (scheduler.contended_pools(), scheduler.take_share_changes())
            };
            self.host.inner.metrics.set_contention(&pools);
            changes.iter().for_each(|change| self.record_share_change(change));
        }
    }

    fn record_share_change(&self, change: &ShareChange) {
        let code = if change.is_above { Code::TeamAboveShare } else { Code::TeamWithinShare };
        let team = team_label(change.team.as_ref());
        let mut fields = vec![Field::new("pool", &change.pool), Field::new("team", team)];
        if let Some(now) = &change.now {
            fields.push(Field::new("share", now.share));
            fields.push(Field::new("allocation", format_args!("{:.2}", now.allocation)));
            fields.push(Field::new("usage", format_args!("{:.2}", now.usage)));
            fields.push(Field::new("waiting", format_args!("{:.2}", now.waiting.total())));
        }
        self.host.record(code, fields);
    }
}
