//! Processor time and resident memory of processes, from the kernel's process files.

use std::{fs, time::Duration};

use eyre::{Context, OptionExt, Result};

/// Clock ticks per second of the processor times in process files; fixed by the kernel's interface.
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;

/// Processor time that a process has used, with a resolution of 10 ms.
///
/// # Errors
///
/// Fails when the process has ended.
pub fn cpu_time(pid: u32) -> Result<Duration> {
    let file = format!("/proc/{pid}/stat");
    let text = fs::read_to_string(&file).wrap_err_with(|| format!("read {file}"))?;
    parse_cpu_time(&text).ok_or_eyre("the process file has an unknown form")
}

/// Resident memory of a process in bytes.
///
/// # Errors
///
/// Fails when the process has ended.
pub fn resident_bytes(pid: u32) -> Result<u64> {
    let file = format!("/proc/{pid}/status");
    let text = fs::read_to_string(&file).wrap_err_with(|| format!("read {file}"))?;
    parse_resident_bytes(&text).ok_or_eyre("the process file has an unknown form")
}

/// Parses the processor time out of a `stat` file.
#[must_use]
pub fn parse_cpu_time(text: &str) -> Option<Duration> {
    // The name of the binary may contain spaces and parentheses, so fields are counted after it.
    let fields: Vec<_> = text.rsplit_once(')')?.1.split_ascii_whitespace().collect();
    let ticks = |index: usize| fields.get(index)?.parse::<f64>().ok();
    Some(Duration::from_secs_f64((ticks(11)? + ticks(12)?) / CLOCK_TICKS_PER_SECOND))
}

/// Parses the resident memory out of a `status` file.
#[must_use]
pub fn parse_resident_bytes(text: &str) -> Option<u64> {
    let value = text.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kib: u64 = value.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kib * 1024)
}
