//! Compares versions of the system on the users' bench: all versions play the same days and seeds
//! in turn, and the result is the difference of each pair of plays.

pub mod play;
pub mod statistic;
pub mod table;

use std::collections::VecDeque;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Mutex, PoisonError};

use indicatif::{ProgressBar, ProgressStyle};

use play::{Day, Outcome};
use table::{Cell, Table};

/// One version of the system: a checkout that the bench builds and runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Way {
    /// Its name in the table.
    pub name: String,
    /// The checkout.
    pub folder: PathBuf,
}

impl std::str::FromStr for Way {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text.split_once('=') {
            Some((name, folder)) if !name.is_empty() && !folder.is_empty() => {
                Ok(Self { name: name.to_owned(), folder: folder.into() })
            }
            _ => Err(format!("`{text}` is not NAME=FOLDER")),
        }
    }
}

/// Options of a comparison.
#[derive(Clone, Debug)]
pub struct Options {
    /// The bench's program.
    pub bench: PathBuf,
    /// Files of deployments.
    pub sites: Vec<PathBuf>,
    /// Days, by their names in these files.
    pub days: Vec<String>,
    /// Seeds of each day, from 1 on.
    pub seeds: u64,
    /// Versions to compare; the first is the baseline.
    pub ways: Vec<Way>,
    /// Number of concurrent plays.
    pub jobs: usize,
    /// Purpose, for the bench's journal.
    pub why: String,
    /// Whether each seed varies the moments and sizes of a day's faults.
    pub vary: bool,
}

/// Error of a comparison.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    /// A file or folder is missing, or the bench cannot be started.
    #[error("{what}: {error}")]
    Io {
        /// The file, folder or program.
        what: String,
        /// What is wrong with it.
        error: io::Error,
    },
    /// Fewer than two ways, or no site, day or seed.
    #[error("a comparison needs at least two ways, one site, one day and one seed")]
    Empty,
}

/// Plays all days with all ways and prints the table; returns true if no play failed or broke a
/// rule.
///
/// # Errors
/// When a folder is missing, or the bench cannot be started.
pub fn run(options: &Options) -> Result<bool, Fault> {
    if options.ways.len() < 2 || options.seeds == 0 || options.days.is_empty() {
        return Err(Fault::Empty);
    }
    for way in &options.ways {
        play::build(&options.bench, way)?;
    }
    let days = days(options)?;
    let cells = play_all(options, &days)?;
    let table = Table::of(&options.ways, cells);
    println!("{table}");
    Ok(table.is_clean())
}

/// Plays all days with the first way and prints the result of each; returns true if no play broke a
/// rule. Days that do not fit a deployment are not played.
///
/// # Errors
/// When a folder is missing, or the bench cannot be started.
pub fn check(options: &Options) -> Result<bool, Fault> {
    let Some(way) = options.ways.first() else { return Err(Fault::Empty) };
    play::build(&options.bench, way)?;
    let cells = play_all(options, &days(options)?)?;
    let reports: Vec<_> = cells.iter().filter_map(|cell| cell.outcome.report()).collect();
    let broken = reports.iter().filter(|report| !report.is_clean()).count();
    let not_played = cells.len() - reports.len();
    println!("{} played, {broken} with a rule broken, {not_played} not played", reports.len());
    Ok(broken == 0)
}

/// Returns the files of the days in a folder.
///
/// # Errors
/// When the folder cannot be read.
pub fn day_files(folder: &Path) -> Result<Vec<String>, Fault> {
    let fault = |error| Fault::Io { what: folder.display().to_string(), error };
    let mut files = Vec::new();
    for entry in std::fs::read_dir(folder).map_err(fault)? {
        let path = entry.map_err(fault)?.path();
        if path.extension().is_some_and(|kind| kind == "toml") {
            files.push(path.display().to_string());
        }
    }
    files.sort_unstable();
    Ok(files)
}

fn days(options: &Options) -> Result<Vec<Day>, Fault> {
    let mut days = Vec::new();
    for site in &options.sites {
        // The bench runs in the checkout, where a relative path would name another file.
        let site = site
            .canonicalize()
            .map_err(|error| Fault::Io { what: site.display().to_string(), error })?;
        for day in &options.days {
            for seed in 1..=options.seeds {
                days.push(Day { site: site.clone(), name: day.clone(), seed });
            }
        }
    }
    if days.is_empty() { Err(Fault::Empty) } else { Ok(days) }
}

/// Plays each day with all ways in turn, so that a drift of the machine's speed affects all alike.
fn play_all(options: &Options, days: &[Day]) -> Result<Vec<Cell>, Fault> {
    let plays = days.iter().flat_map(|day| options.ways.iter().map(move |way| (day, way)));
    let waiting: Mutex<VecDeque<_>> = Mutex::new(plays.collect());
    let done = Mutex::new(Vec::new());
    let progress = progress(days.len() * options.ways.len());
    let work = || {
        loop {
            let next = waiting.lock().unwrap_or_else(PoisonError::into_inner).pop_front();
            let Some((day, way)) = next else { return };
            let outcome = play::play(options, day, way);
            print_line(&progress, &line(day, way, &outcome));
            progress.inc(1);
            let cell =
                outcome.map(|outcome| Cell { day: day.clone(), way: way.name.clone(), outcome });
            done.lock().unwrap_or_else(PoisonError::into_inner).push(cell);
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..options.jobs.max(1) {
            scope.spawn(work);
        }
    });
    progress.finish_and_clear();
    done.into_inner().unwrap_or_else(PoisonError::into_inner).into_iter().collect()
}

fn progress(plays: usize) -> ProgressBar {
    let bar = ProgressBar::new(u64::try_from(plays).unwrap_or(u64::MAX));
    let style = ProgressStyle::with_template("{pos}/{len} plays, {elapsed_precise}, left {eta}");
    // The template is constant; the default style would only change the look of the bar.
    bar.with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
}

/// Prints a line above the progress bar. Without a terminal the bar is hidden and would drop it.
fn print_line(progress: &ProgressBar, line: &str) {
    if progress.is_hidden() {
        println!("{line}");
    } else {
        progress.println(line);
    }
}

fn line(day: &Day, way: &Way, outcome: &Result<Outcome, Fault>) -> String {
    match outcome {
        Ok(Outcome::Played(report)) => format!(
            "{day} {}: {:.4}, late {}, failed {}, {}",
            way.name,
            report.worth,
            report.requests.late,
            report.requests.failed,
            if report.is_clean() { "clean" } else { "BROKEN" },
        ),
        Ok(Outcome::Failed(reason)) => format!("{day} {}: not played: {reason}", way.name),
        Err(fault) => format!("{day} {}: {fault}", way.name),
    }
}
