//! Plays one day on the users' bench and reads its report.

use std::collections::BTreeMap;
use std::fmt;
use std::path::{Path, PathBuf};
use std::process::Command;

use nutmegkeel_standin::guard;
use serde::Deserialize;
use serde_json::Value;

use super::{Fault, Options, Way};

/// A day of a deployment with one seed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Day {
    /// File of the deployment.
    pub site: PathBuf,
    /// Name of a day of the bench, or the file of a custom day.
    pub name: String,
    /// The seed.
    pub seed: u64,
}

impl Day {
    /// Returns the name of the deployment.
    #[must_use]
    pub fn deployment(&self) -> String {
        stem(&self.site)
    }

    /// Returns the name of the day, for a custom day without its folder.
    #[must_use]
    pub fn label(&self) -> String {
        stem(Path::new(&self.name))
    }
}

impl fmt::Display for Day {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} {} seed {}", self.deployment(), self.label(), self.seed)
    }
}

fn stem(path: &Path) -> String {
    path.file_stem().map_or_else(String::new, |stem| stem.to_string_lossy().into_owned())
}

/// Report of the bench on a day, with the names that the bench gives its fields.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Report {
    /// Worth of the day: the share of owed value that was delivered, minus prices.
    #[serde(rename = "G")]
    pub worth: f64,
    /// Requests by outcome.
    #[serde(rename = "all")]
    pub requests: Requests,
    /// Rules that were broken, and how often.
    pub breaks: BTreeMap<String, Value>,
    /// Reason for which the day is void, if it is.
    pub fault: Option<String>,
}

impl Report {
    /// Returns whether no rule was broken.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.breaks.is_empty() && self.fault.is_none()
    }
}

/// Numbers of requests of a day by outcome.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
pub struct Requests {
    /// Answered after their objective.
    pub late: u64,
    /// Not answered.
    pub failed: u64,
}

/// How a play ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The bench wrote a report.
    Played(Report),
    /// The bench wrote no valid report, for this reason.
    Failed(String),
}

impl Outcome {
    /// Returns the report, if the bench wrote one.
    #[must_use]
    pub const fn report(&self) -> Option<&Report> {
        match self {
            Self::Played(report) => Some(report),
            Self::Failed(_) => None,
        }
    }
}

/// Lets the bench build a checkout, so that no build runs during a play.
pub(super) fn build(bench: &Path, way: &Way) -> Result<(), Fault> {
    run_bench(bench, way, &["build".to_owned()]).map(|_| ())
}

/// Plays a day with a way. Processor time is not charged because it differs between plays.
pub(super) fn play(options: &Options, day: &Day, way: &Way) -> Result<Outcome, Fault> {
    let name = format!("{}-{}-{}-{}", way.name, day.deployment(), day.label(), day.seed);
    let file = std::env::temp_dir().join(format!("nutmegkeel-{}-{name}.json", std::process::id()));
    let mut arguments = vec![
        "run".to_owned(),
        day.site.display().to_string(),
        day.name.clone(),
        "--seed".to_owned(),
        day.seed.to_string(),
        "--no-cpu".to_owned(),
        "--report".to_owned(),
        file.display().to_string(),
        "--why".to_owned(),
        options.why.clone(),
    ];
    if options.vary {
        arguments.push("--vary".to_owned());
    }
    let output = run_bench(&options.bench, way, &arguments)?;
    let Ok(text) = std::fs::read_to_string(&file) else {
        return Ok(Outcome::Failed(last_line(&output)));
    };
    // The report is not needed again; if it cannot be removed, only a temporary file remains.
    let _ = std::fs::remove_file(&file);
    Ok(read(&text))
}

/// Reads a report.
#[must_use]
pub fn read(text: &str) -> Outcome {
    match serde_json::from_str(text) {
        Ok(report) => Outcome::Played(report),
        Err(error) => Outcome::Failed(format!("report cannot be parsed: {error}")),
    }
}

fn run_bench(bench: &Path, way: &Way, arguments: &[String]) -> Result<String, Fault> {
    let fault = |error| Fault::Io { what: format!("{} in {}", bench.display(), way.name), error };
    let mut command = Command::new(bench);
    let ended = guard::output(command.args(arguments).current_dir(&way.folder)).map_err(fault)?;
    Ok(String::from_utf8_lossy(&ended.stdout).into_owned()
        + &String::from_utf8_lossy(&ended.stderr))
}

fn last_line(output: &str) -> String {
    output
        .lines()
        .rev()
        .find(|line| !line.trim().is_empty())
        .unwrap_or("the bench printed nothing")
        .to_owned()
}
