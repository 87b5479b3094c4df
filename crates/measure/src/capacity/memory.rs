//! Measures the memory that an event and a receipt take.

use std::io::Write;

use vg_base::SystemClock;
use vg_base::prelude::*;
use vg_events::{Code, Field, Recorder};
use vg_route::{
    BeginOutcome, Fingerprint, KeyedRequest, ReceiptLimits, ReceiptName, Receipts, RequestKey,
};

use super::process::resident_kib;
use crate::Error;
use crate::report::Table;

/// Numbers of entries for which memory is measured.
const ENTRY_COUNTS: [u32; 3] = [10_000, 20_000, 40_000];

/// Measures the memory growth of the process for each number of entries.
pub(super) fn report(out: &mut impl Write) -> Result<(), Error> {
    writeln!(out, "memory: growth of the process while all entries are kept")?;
    let mut table = Table::new(&["entries", "bytes per event", "bytes per receipt"]);
    // All entries are kept until the end, because reused memory would not show as growth.
    let mut kept = Vec::new();
    for count in ENTRY_COUNTS {
        let before = resident_kib();
        let events = record_events(count);
        let between = resident_kib();
        let receipts = fill_receipts(count)?;
        let after = resident_kib();
        table.row(&[
            &count,
            &bytes_per_entry(before, between, count),
            &bytes_per_entry(between, after, count),
        ]);
        kept.push((events, receipts));
    }
    table.write(out)?;
    drop(kept);
    Ok(())
}

/// Returns the bytes per entry from the memory before and after in KiB.
fn bytes_per_entry(before: u64, after: u64, count: u32) -> String {
    let bytes = after.saturating_sub(before) * 1024;
    format!("{:.0}", bytes as f64 / f64::from(count))
}

/// Returns a recorder with a number of events.
fn record_events(count: u32) -> Recorder<SystemClock> {
    let events = Recorder::new(SystemClock, "entry-0/1", count as usize);
    for index in 0..count {
        let fields = [Field::new("revision", index), Field::new("before", index)];
        events.record(Code::RevisionInForce, fields);
    }
    events
}

/// Returns a table with a number of finished receipts.
fn fill_receipts(count: u32) -> Result<Receipts, Error> {
    let mut receipts = Receipts::new(ReceiptLimits::default());
    let now = Instant::now();
    for index in 0..count {
        let request = keyed_request(index, now)?;
        match receipts.begin(&request, now) {
            BeginOutcome::Run(key) => receipts.finish(key, Outcome::Unknown, None, now),
            other => {
                return Err(Error::Site { reason: format!("a receipt was refused: {other:?}") });
            }
        }
    }
    Ok(receipts)
}

/// Returns a request with a key of its own.
fn keyed_request(index: u32, now: Instant) -> Result<KeyedRequest, Error> {
    let failed = |e: vg_base::IdError| Error::Site { reason: e.to_string() };
    Ok(KeyedRequest {
        name: ReceiptName {
            team: "team-1".parse().map_err(failed)?,
            queue: "pool-1-urgent".parse().map_err(failed)?,
            key: RequestKey::Caller(format!("0123456789abcdef-{index:016x}").into()),
        },
        pool: "pool-1".parse().map_err(failed)?,
        attempt: RequestId::new(u128::from(index) + 1),
        deadline: now + Duration::from_secs(4),
        fingerprint: Fingerprint(u128::from(index)),
        idempotent: false,
    })
}
