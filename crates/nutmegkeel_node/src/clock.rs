//! The system clock as the core's time: Unix milliseconds that never go back.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use nutmegkeel_core::clock::Time;
use nutmegkeel_core::member::Instance;

/// A clock that reads the wall time once and is monotonic from then on.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    unix_ms: u64,
}

impl Clock {
    /// Creates a clock that is set to the wall time.
    #[must_use]
    pub fn open() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let unix_ms = u64::try_from(unix.as_millis()).unwrap_or(u64::MAX);
        Self { origin: Instant::now(), unix_ms }
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Time {
        let passed = u64::try_from(self.origin.elapsed().as_millis()).unwrap_or(u64::MAX);
        Time::from_millis(self.unix_ms).after(passed)
    }

    /// Returns the instance number of a process that starts now, once no later process can get the
    /// same one.
    ///
    /// Guards against two runs with the same number: a process that crashed and was restarted
    /// within the same tick would be taken for its predecessor, whose flows it does not hold.
    /// Waiting until the end of the tick prevents this.
    #[must_use]
    pub fn instance(&self) -> Instance {
        let now = self.now();
        let rest = Instance::TICK_MS - now.millis() % Instance::TICK_MS;
        std::thread::sleep(Duration::from_millis(rest));
        Instance::at(now.millis())
    }
}
