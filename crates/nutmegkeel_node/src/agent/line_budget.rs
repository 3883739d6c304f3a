//! Limit on the log lines about single flows, so that a flood of openings floods no log.

use std::sync::Mutex;

use metrics::counter;
use nutmegkeel_core::clock::Time;

use crate::lock::lock;
use crate::metric;

/// Number of lines per second.
const LINES_PER_S: u32 = 20;

/// Length of the period that the limit applies to, in milliseconds.
const PERIOD_MS: u64 = 1_000;

/// Lines that were written in the current period.
#[derive(Debug, Default)]
pub(super) struct LineBudget(Mutex<(Time, u32)>);

impl LineBudget {
    /// Returns whether one more line may be written, and counts it as left out otherwise.
    pub(super) fn try_spend(&self, now: Time) -> bool {
        let mut budget = lock(&self.0);
        if now.since(budget.0) >= PERIOD_MS {
            *budget = (now, 0);
        }
        let fits = budget.1 < LINES_PER_S;
        if fits {
            budget.1 += 1;
        } else {
            counter!(metric::LINES_LEFT_OUT, "reason" => "budget").increment(1);
        }
        fits
    }
}
