//! Measures the cost of an idle site by its size.

use std::io::Write;
use std::thread;

use vg_base::prelude::*;

use super::counters::Counters;
use super::measured_site::MeasuredSite;
use super::process::{load_average, resident_kib};
use super::size::Size;
use super::slope::slope;
use crate::Error;
use crate::report::Table;

/// Time from when a site serves to the start of the measurement.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// The reference size. Each series varies one of its dimensions.
const REFERENCE: Size = Size { nodes: 9, pools: 27, teams: 30, workers: 4 };
/// The largest planned size. Its pools have 594 of the planned 600 workers.
const TARGET: Size = Size { nodes: 18, pools: 54, teams: 65, workers: 11 };
/// Kinds of control traffic.
const CONTROL_KINDS: [&str; 7] =
    ["heartbeat", "units", "peer-lists", "store-lists", "store-book", "host-list", "worker"];
/// Kinds of store calls.
const STORE_CALL_KINDS: [&str; 6] = ["lists", "book", "renew", "commit", "get", "jobs"];

/// Returns one dimension of a size.
type Dimension = fn(&Size) -> u32;

/// The cost of an idle site. Rates are per node and second.
struct Cost {
    size: Size,
    /// CPU use of a node as a fraction of a core.
    node_cpu: f64,
    /// CPU use of all stand-ins as a fraction of a core.
    standin_cpu: f64,
    /// Memory growth of the process per node since before the nodes started, in KiB.
    node_kib: f64,
    rates: Counters,
    /// Size of the encoded cluster state in bytes.
    state_bytes: usize,
    /// Size of the encoded lists in bytes.
    lists_bytes: usize,
}

/// Measures one size, or the series of sizes with their slopes.
pub(super) fn report(
    size: Option<Size>,
    time: Duration,
    out: &mut impl Write,
) -> Result<(), Error> {
    writeln!(out, "idle: {} s per size, load average {} before", time.as_secs(), load_average())?;
    writeln!(out, "nodes and stand-ins run in one process, on separate threads")?;
    let sizes = size.map_or_else(series, |size| vec![size]);
    let costs: Result<Vec<Cost>, Error> =
        sizes.into_iter().map(|size| measure(size, time)).collect();
    let costs = costs?;
    write_costs(&costs, out)?;
    write_kinds(
        &costs,
        "control traffic, bytes/s per node, sent and received",
        &CONTROL_KINDS,
        bytes,
        out,
    )?;
    write_kinds(
        &costs,
        "control messages/s per node, sent and received",
        &CONTROL_KINDS,
        messages,
        out,
    )?;
    write_kinds(&costs, "store calls/s per node", &STORE_CALL_KINDS, calls, out)?;
    if costs.len() > 1 {
        write_slopes(&costs, out)?;
    }
    writeln!(out, "\nload average {} after", load_average())?;
    Ok(())
}

/// Returns the sizes of all series, and the largest planned size.
fn series() -> Vec<Size> {
    let mut sizes: Vec<Size> = [3, 9, 18].map(|nodes| Size { nodes, ..REFERENCE }).to_vec();
    sizes.extend([5, 54].map(|pools| Size { pools, workers: 108 / pools, ..REFERENCE }));
    sizes.extend([6, 65].map(|teams| Size { teams, ..REFERENCE }));
    sizes.extend([1, 11].map(|workers| Size { workers, ..REFERENCE }));
    sizes.push(TARGET);
    sizes
}

/// Starts a site of a size, measures it and stops it.
fn measure(size: Size, time: Duration) -> Result<Cost, Error> {
    let measured = MeasuredSite::start(size)?;
    thread::sleep(SETTLE_TIME);
    let (started, nodes, standins) =
        (Instant::now(), measured.node_cpu_time(), measured.standin_cpu_time());
    let before = Counters::read(&measured.site);
    thread::sleep(time);
    let after = Counters::read(&measured.site);
    let seconds = started.elapsed().as_secs_f64();
    let (nodes, standins) =
        (measured.node_cpu_time() - nodes, measured.standin_cpu_time() - standins);
    let count = f64::from(size.nodes);
    let node = measured.site.nodes().values().next().map(|node| node.handle.node());
    let state = node.and_then(|node| node.membership.lock().cluster_state().encode().ok());
    let lists = node.and_then(|node| node.config.stored()).and_then(|stored| stored.encode().ok());
    let cost = Cost {
        size,
        node_cpu: nodes.as_secs_f64() / seconds / count,
        standin_cpu: standins.as_secs_f64() / seconds,
        node_kib: resident_kib().saturating_sub(measured.standins_kib) as f64 / count,
        rates: after.rates_since(&before, seconds * count),
        state_bytes: state.map_or(0, |bytes| bytes.len()),
        lists_bytes: lists.map_or(0, |bytes| bytes.len()),
    };
    measured.stop();
    Ok(cost)
}

/// Writes the CPU, the memory and the bytes of each size.
fn write_costs(costs: &[Cost], out: &mut impl Write) -> Result<(), Error> {
    writeln!(out, "\nonly the memory of the first size is valid: later sizes reuse freed memory")?;
    let mut table = Table::new(&[
        "size",
        "core per node",
        "stand-ins, core",
        "KiB per node",
        "bytes/s per node",
        "state bytes",
        "lists bytes",
    ]);
    for cost in costs {
        table.row(&[
            &cost.size,
            &core_percent(cost.node_cpu),
            &core_percent(cost.standin_cpu),
            &format!("{:.0}", cost.node_kib),
            &format!("{:.0}", total_bytes(cost)),
            &cost.state_bytes,
            &cost.lists_bytes,
        ]);
    }
    table.write(out)?;
    Ok(())
}

/// Writes a table of rates by kind.
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

/// Writes the cost of one more node, pool, team and worker.
fn write_slopes(costs: &[Cost], out: &mut impl Write) -> Result<(), Error> {
    writeln!(out, "\nslopes by least squares, with the other dimensions as in `{REFERENCE}`")?;
    let mut table = Table::new(&[
        "per additional",
        "core per node",
        "bytes/s per node",
        "state bytes",
        "lists bytes",
    ]);
    let dimensions: [(&str, Dimension); 4] = [
        ("node", |size| size.nodes),
        ("pool", |size| size.pools),
        ("team", |size| size.teams),
        ("worker", |size| size.total_workers()),
    ];
    for (name, dimension) in dimensions {
        let others: Vec<_> = dimensions.iter().filter(|(each, _)| *each != name).collect();
        let series: Vec<&Cost> = costs
            .iter()
            .filter(|cost| {
                others.iter().all(|(_, of)| of(&cost.size) == of(&REFERENCE) || is_close(of, cost))
            })
            .collect();
        let slope_of = |value: &dyn Fn(&Cost) -> f64| {
            let points: Vec<(f64, f64)> =
                series.iter().map(|cost| (f64::from(dimension(&cost.size)), value(cost))).collect();
            slope(&points)
        };
        table.row(&[
            &format!("{name} ({} sizes)", series.len()),
            &format!("{:+.4}%", slope_of(&|cost| cost.node_cpu) * 100.0),
            &format!("{:+.1}", slope_of(&total_bytes)),
            &format!("{:+.1}", slope_of(&|cost| cost.state_bytes as f64)),
            &format!("{:+.1}", slope_of(&|cost| cost.lists_bytes as f64)),
        ]);
    }
    table.write(out)?;
    Ok(())
}

/// Whether a dimension is within 5% of the reference. The number of workers differs slightly
/// when it is not a multiple of the number of pools.
fn is_close(of: &Dimension, cost: &Cost) -> bool {
    of(&cost.size).abs_diff(of(&REFERENCE)) * 20 <= of(&REFERENCE)
}

/// Returns the rate of all control traffic, in bytes per second and node.
fn total_bytes(cost: &Cost) -> f64 {
    cost.rates.sum(&["control_bytes_total"])
}

/// Returns the rate of a kind of control traffic, in bytes per second and node.
fn bytes(cost: &Cost, kind: &str) -> f64 {
    cost.rates.sum(&["control_bytes_total", &format!("kind=\"{kind}\"")])
}

/// Returns the rate of a kind of control traffic, in messages per second and node.
fn messages(cost: &Cost, kind: &str) -> f64 {
    cost.rates.sum(&["control_messages_total", &format!("kind=\"{kind}\"")])
}

/// Returns the rate of the store calls whose kind starts with `kind`, per second and node.
fn calls(cost: &Cost, kind: &str) -> f64 {
    cost.rates.sum(&["store_calls_total", &format!("kind=\"{kind}")])
}

fn core_percent(fraction: f64) -> String {
    crate::report::percent(fraction)
}
