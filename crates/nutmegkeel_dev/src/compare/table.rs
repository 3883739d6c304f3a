//! Result table of a comparison, in Markdown for the documentation.

use std::collections::BTreeMap;
use std::fmt;

use super::Way;
use super::play::{Day, Outcome, Report};
use super::statistic::Summary;

/// One play.
#[derive(Clone, Debug)]
pub struct Cell {
    /// The day.
    pub day: Day,
    /// Name of the way.
    pub way: String,
    /// How it ended.
    pub outcome: Outcome,
}

/// All plays of a comparison.
#[derive(Debug)]
pub struct Table {
    baseline: String,
    others: Vec<String>,
    plays: BTreeMap<(Day, String), Outcome>,
}

impl Table {
    /// Creates the table of these plays; the first way is the baseline.
    #[must_use]
    pub fn of(ways: &[Way], cells: Vec<Cell>) -> Self {
        let mut names = ways.iter().map(|way| way.name.clone());
        let plays = cells.into_iter().map(|cell| ((cell.day, cell.way), cell.outcome)).collect();
        Self { baseline: names.next().unwrap_or_default(), others: names.collect(), plays }
    }

    /// Returns whether every day was played and broke no rule.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.plays.values().all(|outcome| outcome.report().is_some_and(Report::is_clean))
    }

    fn report(&self, day: &Day, way: &str) -> Option<&Report> {
        self.plays.get(&(day.clone(), way.to_owned()))?.report()
    }

    /// Returns the days by deployment and name. The row for all days of a deployment has no name.
    fn rows(&self) -> BTreeMap<(String, Option<String>), Vec<&Day>> {
        let mut rows: BTreeMap<_, Vec<&Day>> = BTreeMap::new();
        for (day, way) in self.plays.keys() {
            if *way == self.baseline {
                rows.entry((day.deployment(), Some(day.label()))).or_default().push(day);
                rows.entry((day.deployment(), None)).or_default().push(day);
            }
        }
        rows
    }

    /// Returns the worth of both ways on the days that both played, and the difference.
    fn compare(&self, days: &[&Day], other: &str) -> Option<[Summary; 3]> {
        let pairs: Vec<(f64, f64)> = days
            .iter()
            .filter_map(|day| {
                let baseline = self.report(day, &self.baseline)?;
                Some((baseline.worth, self.report(day, other)?.worth))
            })
            .collect();
        let column =
            |of: fn(&(f64, f64)) -> f64| Summary::of(&pairs.iter().map(of).collect::<Vec<f64>>());
        Some([column(|pair| pair.0)?, column(|pair| pair.1)?, column(|pair| pair.1 - pair.0)?])
    }

    fn failed(&self, days: &[&Day], way: &str) -> u64 {
        let reports = days.iter().filter_map(|day| self.report(day, way));
        reports.map(|report| report.requests.failed).sum()
    }
}

impl fmt::Display for Table {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "| deployment | day | pairs | {} | way | worth | spread | difference | 95% | failed |",
            self.baseline
        )?;
        writeln!(formatter, "|---|---|---|---|---|---|---|---|---|---|")?;
        for ((deployment, day), days) in self.rows() {
            for other in &self.others {
                let Some([baseline, way, difference]) = self.compare(&days, other) else {
                    continue;
                };
                let margin = difference
                    .margin
                    .map_or_else(|| "-".to_owned(), |margin| format!("±{margin:.4}"));
                writeln!(
                    formatter,
                    "| {deployment} | {} | {} | {:.4} | {other} | {:.4} | {:.4} to {:.4} | {:+.4} | {margin} | {}, {} |",
                    day.as_deref().unwrap_or("all"),
                    difference.count,
                    baseline.mean,
                    way.mean,
                    way.min,
                    way.max,
                    difference.mean,
                    self.failed(&days, &self.baseline),
                    self.failed(&days, other),
                )?;
            }
        }
        for ((day, way), outcome) in &self.plays {
            match outcome {
                Outcome::Failed(reason) => {
                    writeln!(formatter, "not played: {day} {way}: {reason}")?
                }
                Outcome::Played(report) if !report.is_clean() => {
                    writeln!(
                        formatter,
                        "broken: {day} {way}: {:?} {:?}",
                        report.breaks, report.fault
                    )?;
                }
                Outcome::Played(_) => {}
            }
        }
        Ok(())
    }
}
