//! When a client that was refused should come back, and how much the system itself may retry.

use rand::Rng;
use rand::rngs::SmallRng;

/// Shortest pause suggested to a refused client, in milliseconds.
const LEAST_PAUSE_MS: u64 = 1_000;
/// Longest pause suggested, in milliseconds.
const MOST_PAUSE_MS: u64 = 30_000;

/// Milliseconds after which a refused client should ask again.
///
/// Guards against refused clients that return together and are refused together again: the pause
/// is drawn evenly between one and two times the expected wait.
pub fn pause(rng: &mut SmallRng, expected_wait_ms: u64) -> u64 {
    let base = expected_wait_ms.clamp(LEAST_PAUSE_MS, MOST_PAUSE_MS / 2);
    rng.random_range(base..=2 * base)
}

/// Tokens that bound the retries of the system to a share of its first tries.
///
/// Guards against retry storms: when every request fails, retries add at most a tenth to the load.
#[derive(Debug, Clone)]
pub struct Budget {
    tenths: u32,
}

impl Budget {
    const FULL_TENTHS: u32 = 100;
    const RETRY_TENTHS: u32 = 10;

    /// A budget that allows ten retries before any first try was seen.
    #[must_use]
    pub const fn open() -> Self {
        Self { tenths: Self::FULL_TENTHS }
    }

    /// Notes one first try.
    pub fn earn(&mut self) {
        self.tenths = (self.tenths + 1).min(Self::FULL_TENTHS);
    }

    /// Takes one retry out of the budget; false when none is left.
    pub fn spend(&mut self) -> bool {
        if self.tenths < Self::RETRY_TENTHS {
            return false;
        }
        self.tenths -= Self::RETRY_TENTHS;
        true
    }
}
