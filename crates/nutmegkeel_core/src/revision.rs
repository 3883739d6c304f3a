//! Revisions of the platform's store.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Number of times that the store was restored from an older copy.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Era(pub u64);

/// A revision of the store, ordered by the time of the changes.
///
/// A store that is restored from an older copy continues its count of changes from that copy in a
/// later era, so numbers of different eras cannot be compared.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision {
    /// Era of the store.
    pub era: Era,
    /// Number of changes.
    pub number: u64,
}

impl Revision {
    /// The revision before all changes, also used where no revision is known.
    pub const ZERO: Self = Self { era: Era(0), number: 0 };

    /// Creates a revision of a store that was never restored from a copy.
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
