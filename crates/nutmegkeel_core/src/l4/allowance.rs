//! How much may be sent in a span: so much at once, and so much a second from then on.

use crate::clock::Time;

/// Thousandths of one message.
const ONE: u64 = 1_000;

/// What may still be sent.
#[derive(Debug)]
pub struct Allowance {
    left: u64,
    at: Time,
}

impl Allowance {
    /// An allowance of so many messages at once.
    #[must_use]
    pub const fn open(now: Time, most: u64) -> Self {
        Self { left: most * ONE, at: now }
    }

    /// Takes one message, if it may be sent. `per_s` messages are added each second, up to `most`.
    pub fn take(&mut self, now: Time, per_s: u64, most: u64) -> bool {
        let added = now.since(self.at).saturating_mul(per_s);
        self.at = self.at.max(now);
        self.left = self.left.saturating_add(added).min(most * ONE);
        let may_send = self.left >= ONE;
        if may_send {
            self.left -= ONE;
        }
        may_send
    }
}
