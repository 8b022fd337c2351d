//! CPU time and resident memory of processes, read from `/proc`.

use std::{fs, time::Duration};

use eyre::{Context, OptionExt, Result};

/// Frequency of the `USER_HZ` ticks in which the kernel reports the times in `/proc/<pid>/stat`.
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;

/// Returns the user and system CPU time of a process, with a resolution of 10 ms.
///
/// # Errors
///
/// Fails if the file cannot be read, as after the process has ended, or has no such value.
pub fn cpu_time(pid: u32) -> Result<Duration> {
    let file = format!("/proc/{pid}/stat");
    let text = fs::read_to_string(&file).wrap_err_with(|| format!("read {file}"))?;
    parse_cpu_time(&text).ok_or_eyre(format!("no CPU time in {file}"))
}

/// Returns the resident memory of a process in bytes.
///
/// # Errors
///
/// Fails if the file cannot be read, as after the process has ended, or has no such value.
pub fn resident_bytes(pid: u32) -> Result<u64> {
    let file = format!("/proc/{pid}/status");
    let text = fs::read_to_string(&file).wrap_err_with(|| format!("read {file}"))?;
    parse_resident_bytes(&text).ok_or_eyre(format!("no VmRSS in {file}"))
}

/// Parses the user and system CPU time from the contents of `/proc/<pid>/stat`.
#[must_use]
pub fn parse_cpu_time(text: &str) -> Option<Duration> {
    // The process name may contain spaces and parentheses, so fields are counted after its `)`.
    let fields: Vec<_> = text.rsplit_once(')')?.1.split_ascii_whitespace().collect();
    let ticks = |index: usize| fields.get(index)?.parse::<f64>().ok();
    Some(Duration::from_secs_f64((ticks(11)? + ticks(12)?) / CLOCK_TICKS_PER_SECOND))
}

/// Parses the resident memory in bytes from the contents of `/proc/<pid>/status`.
#[must_use]
pub fn parse_resident_bytes(text: &str) -> Option<u64> {
    let value = text.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kib: u64 = value.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kib * 1024)
}
