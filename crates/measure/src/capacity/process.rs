//! Processor time and memory of this process, as the kernel counts them.

use std::fs;
use std::path::Path;

use vg_base::prelude::*;

/// Returns the time that the threads of a name have been on a processor.
pub(super) fn thread_time(name: &str) -> Duration {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else { return Duration::ZERO };
    let times = tasks.flatten().filter_map(|task| time_of(&task.path(), name));
    times.sum()
}

fn time_of(task: &Path, name: &str) -> Option<Duration> {
    let comm = fs::read_to_string(task.join("comm")).ok()?;
    if comm.trim_end() != name {
        return None;
    }
    let stat = fs::read_to_string(task.join("schedstat")).ok()?;
    stat.split_whitespace().next()?.parse().ok().map(Duration::from_nanos)
}

/// Returns the memory of this process in KiB.
pub(super) fn resident_kib() -> u64 {
    field("/proc/self/status", "VmRSS:").unwrap_or(0)
}

/// Returns the load of the machine over the last minute.
pub(super) fn load() -> String {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace().next().unwrap_or("unknown").to_owned()
}

fn field(path: &str, name: &str) -> Option<u64> {
    let text = fs::read_to_string(path).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix(name))?;
    line.split_whitespace().next()?.parse().ok()
}
