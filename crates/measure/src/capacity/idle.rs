//! Cost of a site at rest, by its size.

use std::io::Write;
use std::thread;

use vg_base::prelude::*;

use super::counters::Counters;
use super::process::{load, resident_kib};
use super::rig::Rig;
use super::size::Size;
use super::slope::slope;
use crate::Error;
use crate::report::Table;

/// Time from when a site serves to the measurement.
const SETTLE: Duration = Duration::from_secs(4);
/// The size that the series vary one part of.
const MIDDLE: Size = Size { nodes: 9, pools: 27, teams: 30, workers: 4 };
/// The largest size that is planned for: 594 workers of 600.
const TARGET: Size = Size { nodes: 18, pools: 54, teams: 65, workers: 11 };
/// Kinds of control content.
const KINDS: [&str; 7] =
    ["heartbeat", "units", "peer-lists", "store-lists", "store-book", "host-list", "worker"];
/// Kinds of store calls.
const CALLS: [&str; 6] = ["lists", "book", "renew", "commit", "get", "jobs"];

/// Reads one part of a size.
type PartOf = fn(&Size) -> u32;

/// Cost of a site at rest. Rates are for one node and one second.
struct Cost {
    size: Size,
    /// Processor time of a node as a part of one core.
    core: f64,
    /// Processor time of all stand-ins as a part of one core.
    standins: f64,
    /// Growth of the process for each node since before they started.
    kib: f64,
    rates: Counters,
    book: usize,
    lists: usize,
}

/// Measures one size, or the series and their slopes.
pub(super) fn report(
    size: Option<Size>,
    time: Duration,
    out: &mut impl Write,
) -> Result<(), Error> {
    writeln!(out, "idle: {} s for each size, load {} before", time.as_secs(), load())?;
    writeln!(out, "nodes and stand-ins in one process, on threads of their own")?;
    let sizes = size.map_or_else(series, |size| vec![size]);
    let costs: Result<Vec<Cost>, Error> =
        sizes.into_iter().map(|size| measure(size, time)).collect();
    let costs = costs?;
    write_costs(&costs, out)?;
    write_kinds(&costs, "control content, bytes/s a node, sent and received", &KINDS, bytes, out)?;
    write_kinds(&costs, "control messages/s a node, sent and received", &KINDS, messages, out)?;
    write_kinds(&costs, "store calls/s a node", &CALLS, calls, out)?;
    if costs.len() > 1 {
        write_slopes(&costs, out)?;
    }
    writeln!(out, "\nload {} after", load())?;
    Ok(())
}

fn series() -> Vec<Size> {
    let mut sizes: Vec<Size> = [3, 9, 18].map(|nodes| Size { nodes, ..MIDDLE }).to_vec();
    sizes.extend([5, 54].map(|pools| Size { pools, workers: 108 / pools, ..MIDDLE }));
    sizes.extend([6, 65].map(|teams| Size { teams, ..MIDDLE }));
    sizes.extend([1, 11].map(|workers| Size { workers, ..MIDDLE }));
    sizes.push(TARGET);
    sizes
}

fn measure(size: Size, time: Duration) -> Result<Cost, Error> {
    let rig = Rig::start(size)?;
    thread::sleep(SETTLE);
    let (began, nodes, standins) = (Instant::now(), rig.node_time(), rig.standin_time());
    let before = Counters::read(&rig.site);
    thread::sleep(time);
    let after = Counters::read(&rig.site);
    let seconds = began.elapsed().as_secs_f64();
    let (nodes, standins) = (rig.node_time() - nodes, rig.standin_time() - standins);
    let count = f64::from(size.nodes);
    let node = rig.site.nodes().values().next().map(|node| node.handle.node());
    let book = node.and_then(|node| node.membership.lock().cluster_state().encode().ok());
    let lists = node.and_then(|node| node.config.stored()).and_then(|stored| stored.encode().ok());
    let cost = Cost {
        size,
        core: nodes.as_secs_f64() / seconds / count,
        standins: standins.as_secs_f64() / seconds,
        kib: resident_kib().saturating_sub(rig.standins_kib) as f64 / count,
        rates: after.since(&before, seconds * count),
        book: book.map_or(0, |bytes| bytes.len()),
        lists: lists.map_or(0, |bytes| bytes.len()),
    };
    rig.stop();
    Ok(cost)
}

fn write_costs(costs: &[Cost], out: &mut impl Write) -> Result<(), Error> {
    writeln!(out, "\nmemory is that of the first size only: later ones use freed memory again")?;
    let mut table = Table::new(&[
        "size",
        "core a node",
        "stand-ins, core",
        "KiB a node",
        "bytes/s a node",
        "book bytes",
        "lists bytes",
    ]);
    for cost in costs {
        table.row(&[
            &cost.size,
            &part(cost.core),
            &part(cost.standins),
            &format!("{:.0}", cost.kib),
            &format!("{:.0}", total(cost)),
            &cost.book,
            &cost.lists,
        ]);
    }
    table.write(out)?;
    Ok(())
}

fn write_kinds(
    costs: &[Cost],
    title: &str,
    kinds: &[&str],
    rate: impl Fn(&Cost, &str) -> f64,
    out: &mut impl Write,
) -> Result<(), Error> {
    writeln!(out, "\n{title}")?;
    let columns: Vec<&str> = std::iter::once("size").chain(kinds.iter().copied()).collect();
    let mut table = Table::new(&columns);
    for cost in costs {
        let rates: Vec<String> =
            kinds.iter().map(|kind| format!("{:.2}", rate(cost, kind))).collect();
        let mut cells: Vec<&dyn std::fmt::Display> = vec![&cost.size];
        cells.extend(rates.iter().map(|rate| rate as &dyn std::fmt::Display));
        table.row(&cells);
    }
    table.write(out)?;
    Ok(())
}

fn write_slopes(costs: &[Cost], out: &mut impl Write) -> Result<(), Error> {
    writeln!(out, "\nslopes by least squares, other parts of the size as in `{MIDDLE}`")?;
    let mut table =
        Table::new(&["for one more", "core a node", "bytes/s a node", "book bytes", "lists bytes"]);
    let parts: [(&str, PartOf); 4] = [
        ("node", |size| size.nodes),
        ("pool", |size| size.pools),
        ("team", |size| size.teams),
        ("worker", |size| size.hosts()),
    ];
    for (name, part_of) in parts {
        let others: Vec<_> = parts.iter().filter(|(each, _)| *each != name).collect();
        let series: Vec<&Cost> = costs
            .iter()
            .filter(|cost| {
                others.iter().all(|(_, of)| of(&cost.size) == of(&MIDDLE) || close(of, cost))
            })
            .collect();
        let grown = |value: &dyn Fn(&Cost) -> f64| {
            let points: Vec<(f64, f64)> =
                series.iter().map(|cost| (f64::from(part_of(&cost.size)), value(cost))).collect();
            slope(&points)
        };
        table.row(&[
            &format!("{name} ({} sizes)", series.len()),
            &format!("{:+.4}%", grown(&|cost| cost.core) * 100.0),
            &format!("{:+.1}", grown(&total)),
            &format!("{:+.1}", grown(&|cost| cost.book as f64)),
            &format!("{:+.1}", grown(&|cost| cost.lists as f64)),
        ]);
    }
    table.write(out)?;
    Ok(())
}

/// Whether a part of the size is as in the middle, but for the remainder of
/// workers that do not divide among the pools.
fn close(of: &PartOf, cost: &Cost) -> bool {
    of(&cost.size).abs_diff(of(&MIDDLE)) * 20 <= of(&MIDDLE)
}

fn total(cost: &Cost) -> f64 {
    cost.rates.sum(&["control_bytes_total"])
}

fn bytes(cost: &Cost, kind: &str) -> f64 {
    cost.rates.sum(&["control_bytes_total", &format!("kind=\"{kind}\"")])
}

fn messages(cost: &Cost, kind: &str) -> f64 {
    cost.rates.sum(&["control_messages_total", &format!("kind=\"{kind}\"")])
}

fn calls(cost: &Cost, kind: &str) -> f64 {
    cost.rates.sum(&["store_calls_total", &format!("kind=\"{kind}")])
}

fn part(of_core: f64) -> String {
    crate::report::percent(of_core)
}
