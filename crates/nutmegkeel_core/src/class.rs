//! A class of work: its name, its identity on the wire and the targets an operator sets for it.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The name of a class, such as `intake`.
pub type Name = Arc<str>;

/// Identity of a class inside frames and connection IDs: the first 64 bits of the name's hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id(u64);

impl Id {
    /// Identity of the class called `name`.
    #[must_use]
    pub fn of(name: &str) -> Self {
        let hash = blake3::hash(name.as_bytes());
        let mut first = [0; 8];
        first.copy_from_slice(&hash.as_bytes()[..8]);
        Self(u64::from_be_bytes(first))
    }

    /// The identity as a plain number, for hashing.
    #[must_use]
    pub const fn number(self) -> u64 {
        self.0
    }
}

/// Longest deadline of a request, in milliseconds, whether the caller or the class states it.
pub const MOST_DEADLINE_MS: u64 = 600_000;

/// The targets of one class. Operators state these and nothing else (brief, "The product").
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Busiest backend server over the mean, in percent; 110 means at most 10% above the mean.
    pub imbalance_percent: u32,
    /// Within how many milliseconds a leaving backend server must stop taking new calls.
    pub leave_within_ms: u64,
    /// Within how many milliseconds a change must be in force on every balancer.
    pub settle_within_ms: u64,
    /// Deadline, in milliseconds, of a request that states none.
    pub deadline_ms: u64,
}

impl Default for Target {
    fn default() -> Self {
        Self {
            imbalance_percent: 110,
            leave_within_ms: 2_000,
            settle_within_ms: 5_000,
            deadline_ms: 10_000,
        }
    }
}

/// Why a target was refused; names the field and the allowed range.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("class target field `{field}` is {value}; allowed are {least} to {most}")]
pub struct OutOfRange {
    /// Name of the field.
    pub field: &'static str,
    /// The value given.
    pub value: u64,
    /// Smallest value allowed.
    pub least: u64,
    /// Largest value allowed.
    pub most: u64,
}

impl Target {
    /// Checks every field against its range and returns all faults at once.
    #[must_use]
    pub fn faults(&self) -> Vec<OutOfRange> {
        let bounds = [
            ("imbalance_percent", u64::from(self.imbalance_percent), 101, 1_000),
            ("leave_within_ms", self.leave_within_ms, 500, 60_000),
            ("settle_within_ms", self.settle_within_ms, 1_000, 60_000),
            ("deadline_ms", self.deadline_ms, 50, MOST_DEADLINE_MS),
        ];
        bounds
            .into_iter()
            .filter(|(_, value, least, most)| value < least || value > most)
            .map(|(field, value, least, most)| OutOfRange { field, value, least, most })
            .collect()
    }
}
