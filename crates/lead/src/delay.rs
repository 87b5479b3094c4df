//! Measures by how much this process runs late, because its processor is used up
//! or because it was suspended.

use vg_base::prelude::*;
use vg_events::{Code, Field};

use crate::{Host, Platform};

/// Interval between two measurements.
const INTERVAL: Duration = Duration::from_millis(50);
/// Delay from which an event is recorded.
const REPORTED_DELAY: Duration = Duration::from_millis(250);
/// Minimum time between two events.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Measures the delay of a timer without end, and publishes it in the metrics.
pub(crate) async fn measure<P: Platform, C: Clock>(host: Host<P, C>) {
    let clock = &host.inner.clock;
    let mut reported: Option<Instant> = None;
    loop {
        let wanted = clock.now() + INTERVAL;
        tokio::time::sleep(INTERVAL).await;
        let now = clock.now();
        let delay = now.saturating_duration_since(wanted);
        host.inner.metrics.set_loop_delay(delay);
        let is_due = reported.is_none_or(|at| now.saturating_duration_since(at) >= REPORT_INTERVAL);
        if delay >= REPORTED_DELAY && is_due {
            reported = Some(now);
            let fields =
                [Field::new("ms", delay.as_millis()), Field::new("leading", host.is_leading())];
            host.record(Code::ProcessDelayed, fields);
        }
    }
}
