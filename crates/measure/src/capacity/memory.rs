//! Memory of events and receipts, each.

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

/// Numbers of entries that are measured.
const COUNTS: [u32; 3] = [10_000, 20_000, 40_000];

/// Measures the growth of the process for each number of entries.
pub(super) fn report(out: &mut impl Write) -> Result<(), Error> {
    writeln!(out, "memory: growth of the process while the entries are kept")?;
    let mut table = Table::new(&["entries", "events, bytes each", "receipts, bytes each"]);
    // All are kept to the end, so that no freed memory is used again.
    let mut kept = Vec::new();
    for count in COUNTS {
        let before = resident_kib();
        let events = events(count);
        let between = resident_kib();
        let receipts = receipts(count)?;
        let after = resident_kib();
        table.row(&[&count, &each(before, between, count), &each(between, after, count)]);
        kept.push((events, receipts));
    }
    table.write(out)?;
    drop(kept);
    Ok(())
}

fn each(before: u64, after: u64, count: u32) -> String {
    let bytes = after.saturating_sub(before) * 1024;
    format!("{:.0}", bytes as f64 / f64::from(count))
}

fn events(count: u32) -> Recorder<SystemClock> {
    let events = Recorder::new(SystemClock, "entry-0/1", count as usize);
    for at in 0..count {
        let fields = [Field::new("revision", at), Field::new("before", at)];
        events.record(Code::RevisionInForce, fields);
    }
    events
}

fn receipts(count: u32) -> Result<Receipts, Error> {
    let mut receipts = Receipts::new(ReceiptLimits::default());
    let now = Instant::now();
    for at in 0..count {
        let request = request(at, now)?;
        match receipts.begin(&request, now) {
            BeginOutcome::Run(key) => receipts.finish(key, Outcome::Unknown, None, now),
            other => {
                return Err(Error::Site { reason: format!("a receipt is refused: {other:?}") });
            }
        }
    }
    Ok(receipts)
}

fn request(at: u32, now: Instant) -> Result<KeyedRequest, Error> {
    let failed = |e: vg_base::IdError| Error::Site { reason: e.to_string() };
    Ok(KeyedRequest {
        name: ReceiptName {
            team: "team-1".parse().map_err(failed)?,
            queue: "pool-1-urgent".parse().map_err(failed)?,
            key: RequestKey::Caller(format!("0123456789abcdef-{at:016x}").into()),
        },
        pool: "pool-1".parse().map_err(failed)?,
        attempt: RequestId::new(u128::from(at) + 1),
        deadline: now + Duration::from_secs(4),
        fingerprint: Fingerprint(u128::from(at)),
        idempotent: false,
    })
}
