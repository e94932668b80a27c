//! Processor time and memory of a process, from `/proc`.

use std::fs;

/// Clock ticks per second in `/proc`, as usual on Linux.
const TICKS_PER_S: f64 = 100.0;

/// Processor time and memory of a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessUsage {
    /// Processor time since the process started, in seconds.
    pub cpu_s: f64,
    /// Resident memory, in MiB.
    pub memory_mib: f64,
}

/// Reads the usage of a process; zero for a process that has exited.
pub fn read(id: u32) -> ProcessUsage {
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    // The process name may contain spaces; the fields after it have fixed positions.
    let fields: Vec<&str> =
        stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks =
        |index: usize| fields.get(index).and_then(|field| field.parse().ok()).unwrap_or(0.0);
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib: f64 =
        resident.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or_default();
    ProcessUsage { cpu_s: (ticks(11) + ticks(12)) / TICKS_PER_S, memory_mib: kib / 1_024.0 }
}
