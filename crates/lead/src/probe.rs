//! Asks a store that is suspected to be silent until it answers.

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use vg_base::prelude::*;
use vg_events::{Code, Field};
use vg_store::Key;
use vg_store::monitor::OUTAGE_MIN;

use crate::host::lock;
use crate::keys::TERM_KEY;
use crate::{Host, Platform};

/// Shortest interval between two probes of a host.
const PROBE_INTERVAL_MIN: Duration = Duration::from_millis(100);
/// Part of the interval for each host, so that the probes of many hosts don't use up the
/// rate of the store when it is back.
const PROBE_INTERVAL_PER_HOST: Duration = Duration::from_millis(4);

/// Probes the store whenever it is suspected to be silent.
pub(crate) async fn run<P: Platform, C: Clock>(host: Host<P, C>) {
    let (store, clock) = (host.store(), &host.inner.clock);
    loop {
        let Some(suspicion) = store.suspicion_at() else {
            store.activity().await;
            continue;
        };
        let remaining = suspicion.saturating_duration_since(clock.now());
        if !remaining.is_zero() {
            tokio::time::sleep(remaining).await;
            continue;
        }
        // If the process was late, the answer may be there and not read yet.
        tokio::task::yield_now().await;
        host.probe_until_answered().await;
    }
}

impl<P: Platform, C: Clock> Host<P, C> {
    /// Sends probes until the store is not suspected any more. Records an outage when it is
    /// certain and when it ends.
    async fn probe_until_answered(&self) {
        let (store, clock) = (self.store(), &self.inner.clock);
        let key = Key::from(TERM_KEY);
        let started = clock.now();
        let age = || clock.now().saturating_duration_since(started);
        let mut probes = FuturesUnordered::new();
        let mut recorded = false;
        while store.is_held() {
            probes.push(store.probe(&key));
            let answered = tokio::select! {
                answered = store.wait_for_answers(self.probe_interval()) => answered,
                () = drive(&mut probes) => false,
            };
            if answered {
                break;
            }
            if !recorded && age() >= OUTAGE_MIN && store.is_held() {
                recorded = true;
                self.record(Code::StoreSilent, [Field::new("ms", age().as_millis())]);
            }
        }
        if recorded {
            self.record(Code::StoreAnswers, [Field::new("ms", age().as_millis())]);
        }
    }

    /// Time between two probes.
    fn probe_interval(&self) -> Duration {
        let hosts = lock(&self.inner.members).hosts.len() as u32;
        PROBE_INTERVAL_MIN.max(PROBE_INTERVAL_PER_HOST * hosts)
    }
}

/// Polls the probes in flight; never returns.
async fn drive<F: Future<Output = ()>>(probes: &mut FuturesUnordered<F>) {
    probes.for_each(async |()| {}).await;
    std::future::pending().await
}
