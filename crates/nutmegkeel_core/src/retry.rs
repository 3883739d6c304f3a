//! Retries: the pause suggested to refused callers, and the budget for retries by the system
//! itself.

use rand::Rng;
use rand::rngs::SmallRng;

/// Minimum pause suggested to a refused caller, in milliseconds.
const MIN_PAUSE_MS: u64 = 1_000;
/// Maximum pause suggested to a refused caller, in milliseconds.
const MAX_PAUSE_MS: u64 = 30_000;

/// Returns the pause after which a refused caller should retry, in milliseconds.
///
/// Guards against refused callers that retry at the same time and are refused again: the pause is
/// uniformly distributed between one and two times the expected wait.
pub fn pause(rng: &mut SmallRng, expected_wait_ms: u64) -> u64 {
    let base = expected_wait_ms.clamp(MIN_PAUSE_MS, MAX_PAUSE_MS / 2);
    rng.random_range(base..=2 * base)
}

/// Token bucket that limits the retries of the system to a tenth of its first attempts.
///
/// Guards against retry storms: if every request fails, retries add at most a tenth to the load.
#[derive(Debug, Clone)]
pub struct Budget {
    tenths: u32,
}

impl Budget {
    const FULL_TENTHS: u32 = 100;
    const RETRY_TENTHS: u32 = 10;

    /// Creates a budget that allows ten retries before the first attempt.
    #[must_use]
    pub const fn open() -> Self {
        Self { tenths: Self::FULL_TENTHS }
    }

    /// Records one first attempt.
    pub fn earn(&mut self) {
        self.tenths = (self.tenths + 1).min(Self::FULL_TENTHS);
    }

    /// Spends one retry; returns false if the budget is exhausted.
    pub fn spend(&mut self) -> bool {
        if self.tenths < Self::RETRY_TENTHS {
            return false;
        }
        self.tenths -= Self::RETRY_TENTHS;
        true
    }
}
