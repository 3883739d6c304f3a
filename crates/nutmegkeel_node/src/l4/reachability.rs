//! Tracks whether the store answers the calls of one thread, and logs when that changes.

use std::time::Instant;

use log::info;
use metrics::counter;
use nutmegkeel_store::kv::Fault;

use super::metered::Purpose;
use crate::metric;

/// Reachability of the store, as seen by the calls of one thread.
#[derive(Debug)]
pub(super) struct Reachability {
    purpose: Purpose,
    reachable: bool,
    /// Time of the last successful outcome, or of creation if there has been none.
    last_success: Instant,
}

impl Reachability {
    /// The store counts as reachable until a failure is recorded.
    pub(super) fn open(purpose: Purpose) -> Self {
        Self { purpose, reachable: true, last_success: Instant::now() }
    }

    /// Records the outcome of a step: counts a failure, and logs when the store becomes unreachable
    /// or reachable again. A step that had no call to make is a success.
    pub(super) fn record(&mut self, outcome: Result<(), Fault>) {
        let purpose = self.purpose.name();
        let unanswered_ms = self.unanswered_ms();
        let succeeded = outcome.is_ok();
        if let Err(fault) = outcome {
            counter!(metric::PLATFORM_FAILURES).increment(1);
            if self.reachable {
                info!(event = "store_lost", purpose = purpose,
                    unanswered_ms = unanswered_ms, fault:% = fault; "store does not answer");
            }
        } else {
            if !self.reachable {
                info!(event = "store_regained", purpose = purpose, unanswered_ms = unanswered_ms;
                    "store answers again");
            }
            self.last_success = Instant::now();
        }
        self.reachable = succeeded;
    }

    /// Milliseconds since the last successful outcome, including time in which no call was made.
    fn unanswered_ms(&self) -> u64 {
        u64::try_from(self.last_success.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}
