//! Writes the demo's report as text.

use std::io::{self, Write};

use vg_base::prelude::*;

use crate::demo::scenario::DemoOutcome;
use crate::demo::tally::Tally;

/// Writes the report: answers by queue and team, jobs by state, and guarantees.
pub(super) fn write(out: &mut dyn Write, outcome: &DemoOutcome) -> io::Result<()> {
    writeln!(out, "site {}, seed {}", outcome.site, outcome.seed)?;
    writeln!(out)?;
    writeln!(
        out,
        "{:<18} {:<12} {:>8} {:>8} {:>8} {:>6} {:>9} {:>9}  refusals",
        "queue", "team", "answered", "not run", "unknown", "late", "p50 ms", "p99 ms"
    )?;
    for ((queue, team), tally) in &outcome.tallies {
        write_row(out, queue, team, tally)?;
    }
    writeln!(out)?;
    let jobs: Vec<String> =
        outcome.jobs.iter().map(|(state, count)| format!("{count} {state}")).collect();
    writeln!(out, "acknowledged jobs: {}", jobs.join(", "))?;
    writeln!(out)?;
    writeln!(out, "{:<56} {:>8} {:>8}", "guarantee", "cases", "violated")?;
    for guarantee in &outcome.guarantees {
        writeln!(out, "{:<56} {:>8} {:>8}", guarantee.text, guarantee.cases, guarantee.violated)?;
    }
    writeln!(out)?;
    writeln!(out, "time line: {} events in {}", outcome.events, outcome.timeline.display())
}

/// Writes the row of one queue and team.
fn write_row(out: &mut dyn Write, queue: &str, team: &TeamId, tally: &Tally) -> io::Result<()> {
    let millis = |fraction| match tally.quantile(fraction) {
        Some(time) => format!("{:.1}", time.as_secs_f64() * 1000.0),
        None => "-".to_owned(),
    };
    let codes = tally.codes.iter().map(|(code, count)| format!("{code} {count}"));
    let codes = codes.collect::<Vec<_>>().join(", ");
    let line = format!(
        "{queue:<18} {team:<12} {:>8} {:>8} {:>8} {:>6} {:>9} {:>9}  {codes}",
        tally.answered,
        tally.not_run,
        tally.unknown,
        tally.late,
        millis(0.5),
        millis(0.99),
    );
    writeln!(out, "{}", line.trim_end())
}
