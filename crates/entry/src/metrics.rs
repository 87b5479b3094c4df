//! Prometheus metrics of a node.

use derive_more::Display;
use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry, TextEncoder,
};
use vg_base::prelude::*;

/// Upper bounds of the latency histogram's buckets in seconds.
const LATENCY_BOUNDS_SECS: [f64; 12] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 3.8, 30.0];

/// The metrics of one node. Label values are fixed words or names from the lists, so their
/// number is limited.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    calls: IntCounterVec,
    latency: HistogramVec,
    store: IntCounterVec,
    control_bytes: IntCounterVec,
    control_messages: IntCounterVec,
    state: IntGaugeVec,
}

/// Direction of a control message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Direction {
    /// This node sent it.
    #[display("sent")]
    Sent,
    /// This node received it.
    #[display("received")]
    Received,
}

impl Metrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    ///
    /// An error of `prometheus` if a name is malformed or already registered.
    pub fn new() -> Result<Metrics, prometheus::Error> {
        let registry = Registry::new_custom(Some("verbenagap".to_owned()), None)?;
        let calls = Opts::new("calls_total", "Calls that ended, by queue and outcome");
        let calls = IntCounterVec::new(calls, &["queue", "outcome"])?;
        let latency = HistogramOpts::new("call_seconds", "Time from receipt to the answer's start")
            .buckets(LATENCY_BOUNDS_SECS.to_vec());
        let latency = HistogramVec::new(latency, &["queue"])?;
        let store = Opts::new("store_calls_total", "Store calls, by kind and result");
        let store = IntCounterVec::new(store, &["kind", "result"])?;
        let bytes = Opts::new("control_bytes_total", "Bytes of control content, by kind and way");
        let control_bytes = IntCounterVec::new(bytes, &["kind", "direction"])?;
        let messages = Opts::new("control_messages_total", "Control messages, by kind and way");
        let control_messages = IntCounterVec::new(messages, &["kind", "direction"])?;
        let state = Opts::new("state", "Sizes of this node's tables");
        let state = IntGaugeVec::new(state, &["what"])?;
        registry.register(Box::new(calls.clone()))?;
        registry.register(Box::new(latency.clone()))?;
        registry.register(Box::new(store.clone()))?;
        registry.register(Box::new(control_bytes.clone()))?;
        registry.register(Box::new(control_messages.clone()))?;
        registry.register(Box::new(state.clone()))?;
        Ok(Metrics { registry, calls, latency, store, control_bytes, control_messages, state })
    }

    /// Records a call that has ended. `queue` must be a name from the lists.
    pub fn record_call(&self, queue: &QueueId, outcome: Outcome, took: Duration) {
        self.calls.with_label_values(&[queue.as_str(), &outcome.to_string()]).inc();
        self.latency.with_label_values(&[queue.as_str()]).observe(took.as_secs_f64());
    }

    /// Records a call that was refused before it was accepted. Its queue label is empty,
    /// because the queue in the request may not be a name from the lists.
    pub fn record_refusal(&self) {
        self.calls.with_label_values(&["", "not-run"]).inc();
    }

    /// Records a store call.
    pub fn record_store_call(&self, kind: &str, succeeded: bool) {
        let result = if succeeded { "done" } else { "failed" };
        self.store.with_label_values(&[kind, result]).inc();
    }

    /// Records a control message with the `bytes` of its encoded content. HTTP headers
    /// and the encoding of the store's gateway are not included.
    pub fn record_control_message(&self, kind: &str, direction: Direction, bytes: usize) {
        let labels = [kind, &direction.to_string()];
        self.control_bytes.with_label_values(&labels).inc_by(bytes as u64);
        self.control_messages.with_label_values(&labels).inc();
    }

    /// Sets the size of a table.
    pub fn set_table_size(&self, what: &str, value: usize) {
        self.state.with_label_values(&[what]).set(i64::try_from(value).unwrap_or(i64::MAX));
    }

    /// Returns the metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// An error of `prometheus` if they cannot be encoded.
    pub fn encode_text(&self) -> Result<Vec<u8>, prometheus::Error> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}
