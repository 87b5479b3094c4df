//! Figures of a policy, and the table that sets policies beside each other.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::io::{self, Write};

use vg_base::prelude::*;

use super::arrivals::{LATE_FACTOR, Workload};
use super::baselines::BASE_VALUE;
use crate::report::{Table, percent};

/// Part of its value that a late job earns.
const LATE_VALUE: f64 = 0.07;
/// Time over which the worst seconds are taken, by arrival.
const WINDOW_MS: u64 = 2000;
/// Jobs from which a window counts.
const MIN_WINDOW_JOBS: usize = 10;

/// Which part of each job ended in time, and which part before it was worthless.
#[derive(Debug, Clone, PartialEq)]
pub struct Served {
    /// The parts that ended within the objective: 0 or 1 except for the bound.
    pub in_time: Vec<f64>,
    /// The parts that ended within three times the objective.
    pub valued: Vec<f64>,
}

impl Served {
    /// Returns what was served if the jobs ended at these times.
    pub fn from_ends(workload: &Workload, ended_ms: &[Option<u64>]) -> Served {
        let within = |factor: u64| {
            let jobs = workload.arrivals.iter().zip(ended_ms);
            let part = |(job, end): (&super::Arrival, &Option<u64>)| {
                let is_within = end.is_some_and(|end| end <= job.deadline_ms(factor));
                f64::from(u8::from(is_within))
            };
            jobs.map(part).collect()
        };
        Served { in_time: within(1), valued: within(LATE_FACTOR) }
    }
}

/// Returns the value of each job if it ends in time.
pub fn values(workload: &Workload) -> Vec<f64> {
    let means = workload.queues();
    let value = |job: &super::Arrival| {
        BASE_VALUE + (1.0 - BASE_VALUE) * job.work() / means[&job.queue].max(f64::MIN_POSITIVE)
    };
    workload.arrivals.iter().map(value).collect()
}

/// A figure: a fraction from 0 to 1 unless its name has a unit.
#[derive(Debug, Clone, PartialEq)]
pub struct Figure {
    /// What it is.
    pub name: String,
    /// Its value.
    pub value: f64,
}

/// Returns the figures of a policy.
pub fn figures(workload: &Workload, served: &Served) -> Vec<Figure> {
    let (jobs, values) = (&workload.arrivals, values(workload));
    let earned = |at: usize| {
        values[at] * ((1.0 - LATE_VALUE) * served.in_time[at] + LATE_VALUE * served.valued[at])
    };
    let all = || 0..jobs.len();
    let mean = |of: &[usize]| mean(of.iter().map(|&at| served.in_time[at]));
    let total: f64 = values.iter().sum();
    let mut figures = Vec::new();
    let mut add = |name: String, value: f64| figures.push(Figure { name, value });
    add("value earned / offered".into(), all().map(earned).sum::<f64>() / total.max(1e-9));
    add("served in time".into(), mean(&all().collect::<Vec<_>>()));
    for (queue, of) in group(all(), |at| jobs[at].queue.clone()) {
        add(format!("  queue {queue}"), mean(&of));
    }
    let accounts = group(all(), |at| jobs[at].account.clone());
    let mut by_account: Vec<f64> = accounts.values().map(|of| mean(of)).collect();
    by_account.sort_by(f64::total_cmp);
    by_account.truncate(by_account.len().div_ceil(10));
    add("  worst tenth of accounts".into(), self::mean(by_account.into_iter()));
    for (name, of) in size_classes(workload) {
        if !of.is_empty() {
            add(format!("  {name}"), mean(&of));
        }
    }
    let windows = group(all(), |at| jobs[at].at_ms / WINDOW_MS);
    let counted = windows.values().filter(|of| of.len() >= MIN_WINDOW_JOBS);
    if let Some(worst) = counted.map(|of| mean(of)).min_by(f64::total_cmp) {
        add("  worst 2 s".into(), worst);
    }
    let per_share = |(account, of): (&TeamId, &Vec<usize>)| {
        let value: f64 = of.iter().map(|&at| values[at] * served.in_time[at]).sum();
        value / workload.shares.get(account).copied().unwrap_or(1.0)
    };
    add("Jain's index of served / share".into(), jain(accounts.iter().map(per_share)));
    figures
}

fn mean(of: impl ExactSizeIterator<Item = f64>) -> f64 {
    let count = of.len().max(1) as f64;
    of.sum::<f64>() / count
}

/// Returns Jain's index: 1 if all values are equal, 1 / n if all but one are 0.
fn jain(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, squares, count) =
        values.fold((0.0, 0.0, 0.0), |(sum, squares, n), x| (sum + x, squares + x * x, n + 1.0));
    if squares > 0.0 { sum * sum / (count * squares) } else { 1.0 }
}

fn group<K: Ord>(
    jobs: impl Iterator<Item = usize>,
    key: impl Fn(usize) -> K,
) -> BTreeMap<K, Vec<usize>> {
    let mut groups: BTreeMap<K, Vec<usize>> = BTreeMap::new();
    jobs.for_each(|at| groups.entry(key(at)).or_default().push(at));
    groups
}

/// Returns the jobs by their true work among the jobs of their queue.
fn size_classes(workload: &Workload) -> [(&'static str, Vec<usize>); 3] {
    let jobs = &workload.arrivals;
    let mut classes =
        [("lower 70 %", Vec::new()), ("next 20 %", Vec::new()), ("largest tenth", Vec::new())];
    for mut of in group(0..jobs.len(), |at| jobs[at].queue.clone()).into_values() {
        of.sort_by(|&a, &b| jobs[a].work().total_cmp(&jobs[b].work()));
        let (small, middle) = (of.len() * 7 / 10, of.len() * 9 / 10);
        classes[0].1.extend(&of[..small]);
        classes[1].1.extend(&of[small..middle]);
        classes[2].1.extend(&of[middle..]);
    }
    classes
}

/// Writes a row for each figure and a column for each policy.
pub fn write(policies: &[(&str, Vec<Figure>)], to: &mut impl Write) -> io::Result<()> {
    let names: Vec<_> = policies.iter().map(|(name, _)| *name).collect();
    let mut table = Table::new(&[&[""], names.as_slice()].concat());
    let rows = policies.first().map_or(&[][..], |(_, figures)| figures);
    for (at, row) in rows.iter().enumerate() {
        let cell = |(_, figures): &(&str, Vec<Figure>)| {
            figures.get(at).map_or("-".to_owned(), |figure| match figure.name.ends_with("ms") {
                true => format!("{:.2}", figure.value),
                false => percent(figure.value),
            })
        };
        let cells: Vec<String> = policies.iter().map(cell).collect();
        let row = std::iter::once(&row.name).chain(&cells);
        table.row(&row.map(|cell| cell as &dyn Display).collect::<Vec<_>>());
    }
    table.write(to)
}

/// Returns the figures of each policy as JSON.
pub fn json(policies: &[(&str, Vec<Figure>)]) -> serde_json::Value {
    let object = |figures: &Vec<Figure>| -> serde_json::Value {
        let pairs = figures.iter().map(|each| (each.name.trim().to_owned(), each.value.into()));
        serde_json::Value::Object(pairs.collect())
    };
    let pairs = policies.iter().map(|(name, figures)| ((*name).to_owned(), object(figures)));
    serde_json::Value::Object(pairs.collect())
}
