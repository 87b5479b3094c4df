//! Gauges and events that show what clients hold.

use prometheus::{Error, IntGauge, Opts, Registry};
use vg_base::prelude::*;
use vg_events::{Code, Field};

use crate::{Host, Platform};

/// Interval at which the gauges are set, and minimum time between two events.
const INTERVAL: Duration = Duration::from_secs(1);

/// Gauges of what clients hold; clones share them.
#[derive(Debug, Clone)]
pub(crate) struct ClientGauges {
    bytes: IntGauge,
    connections: IntGauge,
    evicted: IntGauge,
    refused: IntGauge,
}

impl ClientGauges {
    /// Creates and registers the gauges.
    pub(crate) fn new(registry: &Registry) -> Result<ClientGauges, Error> {
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::with_opts(Opts::new(name, help))?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, Error>(gauge)
        };
        Ok(ClientGauges {
            bytes: gauge("vg_client_bytes", "Bytes held for clients.")?,
            connections: gauge("vg_client_connections", "Open connections of clients.")?,
            evicted: gauge("vg_client_evicted", "Connections that gave way since the start.")?,
            refused: gauge("vg_client_refused", "Requests without room since the start.")?,
        })
    }
}

/// Sets the gauges and records evictions without end.
pub(crate) async fn publish<P: Platform, C: Clock>(host: Host<P, C>) {
    let mut seen = (0, 0);
    loop {
        let gauges = &host.inner.metrics.clients;
        let usage = host.inner.options.budget.usage();
        gauges.bytes.set(i64::try_from(usage.bytes).unwrap_or(i64::MAX));
        gauges.connections.set(i64::try_from(usage.connections).unwrap_or(i64::MAX));
        gauges.evicted.set(i64::try_from(usage.evicted).unwrap_or(i64::MAX));
        gauges.refused.set(i64::try_from(usage.refused).unwrap_or(i64::MAX));
        let total = (usage.evicted, usage.refused);
        if total != seen {
            let fields = [
                Field::new("evicted", total.0 - seen.0),
                Field::new("refused", total.1 - seen.1),
                Field::new("bytes", usage.bytes),
                Field::new("connections", usage.connections),
            ];
            host.record(Code::ClientsEvicted, fields);
            seen = total;
        }
        tokio::time::sleep(INTERVAL).await;
    }
}
