//! A class of work: its name, its identifier on the wire and the targets that operators set.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Name of a class, such as `intake`.
pub type Name = Arc<str>;

/// Identifier of a class in frames and connection IDs: the first 64 bits of the hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id(u64);

impl Id {
    /// Returns the identifier of the class with this name.
    #[must_use]
    pub fn of(name: &str) -> Self {
        let hash = blake3::hash(name.as_bytes());
        let mut first = [0; 8];
        first.copy_from_slice(&hash.as_bytes()[..8]);
        Self(u64::from_be_bytes(first))
    }

    /// Returns the identifier as a number, for hashing.
    #[must_use]
    pub const fn number(self) -> u64 {
        self.0
    }
}

/// Maximum deadline of a request, in milliseconds, whether the caller or the class sets it.
pub const MAX_DEADLINE_MS: u64 = 600_000;

/// The targets of one class, which are all that operators configure for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Maximum load of a backend server in percent of the mean; 110 allows 10% above the mean.
    pub imbalance_percent: u32,
    /// Maximum time until a leaving backend server gets no new calls, in milliseconds.
    pub leave_within_ms: u64,
    /// Maximum time until a change is in force on every balancer, in milliseconds.
    pub settle_within_ms: u64,
    /// Deadline of a request that sets none, in milliseconds.
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

/// A field of a target that is outside its allowed range.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("class target field `{field}` is {value}; allowed are {min} to {max}")]
pub struct OutOfRange {
    /// Name of the field.
    pub field: &'static str,
    /// The value given.
    pub value: u64,
    /// Minimum allowed value.
    pub min: u64,
    /// Maximum allowed value.
    pub max: u64,
}

impl Target {
    /// Returns all fields that are outside their allowed range.
    #[must_use]
    pub fn faults(&self) -> Vec<OutOfRange> {
        let bounds = [
            ("imbalance_percent", u64::from(self.imbalance_percent), 101, 1_000),
            ("leave_within_ms", self.leave_within_ms, 500, 60_000),
            ("settle_within_ms", self.settle_within_ms, 1_000, 60_000),
            ("deadline_ms", self.deadline_ms, 50, MAX_DEADLINE_MS),
        ];
        bounds
            .into_iter()
            .filter(|(_, value, min, max)| value < min || value > max)
            .map(|(field, value, min, max)| OutOfRange { field, value, min, max })
            .collect()
    }
}
