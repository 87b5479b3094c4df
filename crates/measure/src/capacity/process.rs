//! Reads the CPU time and the memory of this process from `/proc`.

use std::fs;
use std::path::Path;

use vg_base::prelude::*;

/// Returns the CPU time of all threads with a name.
pub(super) fn thread_cpu_time(name: &str) -> Duration {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else { return Duration::ZERO };
    let times = tasks.flatten().filter_map(|task| task_cpu_time(&task.path(), name));
    times.sum()
}

/// Returns the CPU time of a thread if it has the name.
fn task_cpu_time(task: &Path, name: &str) -> Option<Duration> {
    let comm = fs::read_to_string(task.join("comm")).ok()?;
    if comm.trim_end() != name {
        return None;
    }
    let stat = fs::read_to_string(task.join("schedstat")).ok()?;
    stat.split_whitespace().next()?.parse().ok().map(Duration::from_nanos)
}

/// Returns the resident memory of this process in KiB.
pub(super) fn resident_kib() -> u64 {
    proc_field("/proc/self/status", "VmRSS:").unwrap_or(0)
}

/// Returns the load average of the machine over the last minute.
pub(super) fn load_average() -> String {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace().next().unwrap_or("unknown").to_owned()
}

/// Returns the number after a field name in a file of `/proc`.
fn proc_field(path: &str, name: &str) -> Option<u64> {
    let text = fs::read_to_string(path).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix(name))?;
    line.split_whitespace().next()?.parse().ok()
}
