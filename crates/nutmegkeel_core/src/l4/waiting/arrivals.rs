//! How much comes, beside what the slots can do.

use super::Capacity;
use crate::clock::Time;

/// Arrivals are counted over this time, in milliseconds: at a hundred requests a second a tenth more
/// or less is chance.
const WINDOW_MS: u64 = 1_000;

/// Requests that came lately, those refused included.
#[derive(Debug, Default)]
pub(super) struct Arrivals {
    window: u64,
    current: u64,
    previous: u64,
}

impl Arrivals {
    /// Notes a request.
    pub(super) fn note(&mut self, now: Time) {
        let window = now.millis() / WINDOW_MS;
        if window != self.window {
            self.previous = if window == self.window + 1 { self.current } else { 0 };
            self.current = 0;
            self.window = window;
        }
        self.current += 1;
    }

    /// Room that takes what came in the last window, in percent of what the slots can do.
    pub(super) fn percent(&self, now: Time, capacity: &Capacity) -> u64 {
        let window = now.millis() / WINDOW_MS;
        let passed_ms = now.millis() % WINDOW_MS;
        let (current, previous) = match window.checked_sub(self.window) {
            Some(0) => (self.current, self.previous),
            Some(1) => (0, self.current),
            _ => (0, 0),
        };
        let came = current * WINDOW_MS + previous * (WINDOW_MS - passed_ms);
        let borne_us = capacity.slots.max(1) * WINDOW_MS * 1_000;
        came * capacity.mean_us * 100 / (borne_us * WINDOW_MS)
    }
}
