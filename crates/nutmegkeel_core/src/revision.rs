//! Points in the history of the platform's store.

use std::fmt;

use serde::{Deserialize, Serialize};

/// How often the store has come back from an older copy of itself.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Era(pub u64);

/// A point in the store's history, in the order in which changes happened. A store that comes back from an older
/// copy counts its changes from there again, in a later era: numbers alone cannot be compared.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision {
    /// The era.
    pub era: Era,
    /// Count of changes.
    pub number: u64,
}

impl Revision {
    /// Before all changes, and what those have who heard of none.
    pub const ZERO: Self = Self { era: Era(0), number: 0 };

    /// A revision of a store that has never come back from a copy.
    #[must_use]
    pub const fn first_era(number: u64) -> Self {
        Self { era: Era(0), number }
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era {
            Era(0) => write!(formatter, "{}", self.number),
            Era(era) => write!(formatter, "{} of era {era}", self.number),
        }
    }
}
