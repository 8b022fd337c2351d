//! Cases of the review. `cases NAME FOLDER` plays one, writes `record.txt` into the folder, and exits
//! with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With `TROUBLE=0` in the
//! environment the disruption is left out.

mod case_foreign_entry;
mod case_head;
mod case_interim;
mod case_list_pages;
mod http;
mod instance;
mod record;
mod replica;
mod store;

use std::{process::exit, thread, time::Duration};

use crate::record::{Day, Outcome};

/// Time after which a case that is still running has failed to run.
const TIME_LIMIT: Duration = Duration::from_secs(110);

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, name, folder] = args.as_slice() else {
        eprintln!("usage: cases NAME FOLDER");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let play = match name.as_str() {
        "list-pages" => case_list_pages::play,
        "foreign-entry" => case_foreign_entry::play,
        "head" => case_head::play,
        "interim" => case_interim::play,
        _ => {
            eprintln!("unknown case {name}");
            exit(2);
        }
    };
    let (tx, rx) = std::sync::mpsc::channel();
    let folder = std::path::PathBuf::from(folder);
    thread::spawn(move || {
        let mut day = Day::begin(&folder, has_trouble).map_err(|it| it.to_string());
        let outcome = match &mut day {
            Ok(day) => play(day).unwrap_or_else(|err| Outcome::NotRun(err.to_string())),
            Err(err) => Outcome::NotRun(err.clone()),
        };
        if let Ok(day) = &mut day {
            day.end(&outcome);
        }
        // The receiver waits until the time limit.
        let _ = tx.send(outcome);
    });
    let outcome = rx
        .recv_timeout(TIME_LIMIT)
        .unwrap_or_else(|_| Outcome::NotRun("it took too long or a stand-in failed".to_owned()));
    println!("{outcome}");
    record::end_processes();
    exit(match outcome {
        Outcome::Held(_) => 0,
        Outcome::Broken(_) => 1,
        Outcome::NotRun(_) => 2,
    });
}
