//! The record of a case and its outcome.

use std::{
    fmt,
    fs::{self, File},
    io::{self, Write},
    path::{Path, PathBuf},
    process::Command,
    sync::Mutex,
    time::Instant,
};

/// Ids of the processes that were started and have not been ended.
pub static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the processes that are still running.
pub fn end_processes() {
    let pids = std::mem::take(&mut *PROCESSES.lock().expect("no thread panics here"));
    for pid in pids {
        // It may have ended by itself.
        let _ = Command::new("kill").args(["-KILL", &pid.to_string()]).status();
    }
}

/// Result of a case.
pub enum Outcome {
    Held(String),
    Broken(String),
    NotRun(String),
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Outcome::Held(it) => write!(f, "rule held: {it}"),
            Outcome::Broken(it) => write!(f, "rule broken: {it}"),
            Outcome::NotRun(it) => write!(f, "the case could not run: {it}"),
        }
    }
}

/// A day that is played: its clock, its record and its temporary folder.
pub struct Day {
    pub began: Instant,
    pub has_trouble: bool,
    pub temp: PathBuf,
    record: File,
}

impl Day {
    pub fn begin(folder: &Path, has_trouble: bool) -> io::Result<Day> {
        let temp = std::env::temp_dir().join(format!("rosemarybank-review-{}", std::process::id()));
        fs::create_dir_all(&temp)?;
        let record = File::create(folder.join("record.txt"))?;
        let mut day = Day { began: Instant::now(), has_trouble, temp, record };
        let with = if has_trouble { "with" } else { "without" };
        day.note(day.began, &format!("begins, {with} the disruption"));
        Ok(day)
    }

    /// Adds a line to the record.
    pub fn note(&mut self, at: Instant, text: &str) {
        let seconds = at.saturating_duration_since(self.began).as_secs_f64();
        // A record that cannot be written does not change the outcome.
        let _ = writeln!(self.record, "{seconds:9.3} s  {text}");
    }

    /// Writes the outcome and removes the temporary folder.
    pub fn end(&mut self, outcome: &Outcome) {
        self.note(Instant::now(), &outcome.to_string());
        let _ = fs::remove_dir_all(&self.temp);
    }
}
