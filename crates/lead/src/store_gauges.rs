//! Gauges that show how a host stands with its store.

use prometheus::{Error, IntGauge, Opts, Registry};
use vg_base::prelude::*;

use crate::host::lock;
use crate::submit::UNSENT_MAX;
use crate::{Host, Platform};

/// Interval at which the gauges are set.
const INTERVAL: Duration = Duration::from_millis(500);

/// Gauges of the store's answers; clones share them.
#[derive(Debug, Clone)]
pub(crate) struct StoreGauges {
    silence: IntGauge,
    unsent: IntGauge,
    unresolved: IntGauge,
}

impl StoreGauges {
    /// Creates and registers the gauges.
    pub(crate) fn new(registry: &Registry) -> Result<StoreGauges, Error> {
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::with_opts(Opts::new(name, help))?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, Error>(gauge)
        };
        Ok(StoreGauges {
            silence: gauge("vg_store_silence_ms", "Milliseconds since the store last answered.")?,
            unsent: gauge("vg_store_unsent", "Submissions that wait until the store answers.")?,
            unresolved: gauge("vg_store_unresolved", "Jobs written with an unknown outcome.")?,
        })
    }
}

/// Sets the gauges without end.
pub(crate) async fn publish<P: Platform, C: Clock>(host: Host<P, C>) {
    loop {
        let gauges = &host.inner.metrics.store;
        let silence = host.store().silence().as_millis();
        gauges.silence.set(i64::try_from(silence).unwrap_or(i64::MAX));
        gauges.unsent.set((UNSENT_MAX - host.inner.unsent_places.available_permits()) as i64);
        gauges.unresolved.set(lock(&host.inner.unresolved).len(host.inner.clock.now()) as i64);
        tokio::time::sleep(INTERVAL).await;
    }
}
