//! Service time of a backend server: how long a slot works on one request, measured even while no
//! slot is ever free.
//!
//! This matters when a server becomes several times slower while its heartbeats and health checks
//! stay good. From then on it is full, so no request finds a free slot, and a service time learned
//! only from requests that did would never change. The meter instead divides the time for which the
//! slots were busy by the number of answers. Requests that queue behind the slots count as no work,
//! and a request that is not answered yet already counts.

use std::collections::VecDeque;

use crate::clock::Time;

/// Minimum number of answers in the window. A few percent of the requests may take seven times as
/// long as the others; with fewer answers some of those together would make a server look slow.
const MIN_ANSWERS: u64 = 24;

/// Number of answers that show that a server has become fast again. It is smaller, because a slow
/// server gets few requests. A slow server whose service times vary widely rarely has so many short
/// ones in a row.
const RECENT_ANSWERS: u64 = 8;

/// Minimum length of the window, in milliseconds, so that one cluster of long requests does not
/// make a server look slow.
const MIN_WINDOW_MS: u64 = 500;

/// Maximum length of the window, in milliseconds, and upper limit of the service time. Clients have
/// given up by then, so a slower server might as well never answer.
pub const MAX_WINDOW_MS: u64 = 10_000;

/// Length of the spans over which work is summed, in milliseconds. It bounds the memory of a meter.
const SPAN_MS: u64 = 50;

/// Longest gap between two updates, in milliseconds. After a longer one this process has stalled,
/// and does not know for how long the slots were busy in that time.
const STALL_MS: u64 = 400;

/// Work of the slots, and answers, within a span.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Work {
    slot_ms: u64,
    answers: u64,
}

impl Work {
    const fn plus(self, other: Self) -> Self {
        Self { slot_ms: self.slot_ms + other.slot_ms, answers: self.answers + other.answers }
    }

    /// Returns the time that a slot works on a request, in milliseconds. Work without answers
    /// counts as that of one request.
    fn service_ms(self) -> u64 {
        let answers = self.answers.max(1);
        let service_ms = (self.slot_ms + answers / 2) / answers;
        service_ms.clamp(1, MAX_WINDOW_MS)
    }

    const fn minus(self, other: Self) -> Self {
        Self { slot_ms: self.slot_ms - other.slot_ms, answers: self.answers - other.answers }
    }
}

#[derive(Clone, Copy, Debug)]
struct Span {
    started_at: Time,
    work: Work,
}

/// Measures the service time of one backend server.
#[derive(Debug)]
pub struct Meter {
    /// Number of busy slots since the last update.
    working: u64,
    updated_at: Time,
    /// Spans of the window, the oldest first.
    spans: VecDeque<Span>,
    total: Work,
}

impl Meter {
    /// Creates a meter for a server of which nothing is known.
    #[must_use]
    pub const fn open(now: Time) -> Self {
        let total = Work { slot_ms: 0, answers: 0 };
        Self { working: 0, updated_at: now, spans: VecDeque::new(), total }
    }

    /// Restarts the measurement, because another server runs or the server's warm-up has ended.
    pub fn clear(&mut self) {
        self.spans.clear();
        self.total = Work::default();
    }

    /// Records an answer.
    pub fn record_answer(&mut self, now: Time) {
        self.add(now, Work { slot_ms: 0, answers: 1 });
    }

    /// Records the number of slots that are busy from now on.
    pub fn record_working(&mut self, now: Time, working: u64) {
        let passed_ms = now.since(self.updated_at);
        if passed_ms > STALL_MS {
            self.clear();
        } else {
            self.add(now, Work { slot_ms: passed_ms * self.working, answers: 0 });
        }
        self.updated_at = now;
        self.working = working;
        self.drop_old(now);
    }

    /// Returns the time that a slot works on a request, in milliseconds; zero if it is not known.
    ///
    /// Work counts before it is answered. Guards against a server that accepts requests and never
    /// answers: by its earlier answers it would still look fast.
    #[must_use]
    pub fn service_ms(&self) -> u16 {
        if self.total.answers < MIN_ANSWERS && self.total.slot_ms < MAX_WINDOW_MS {
            return 0;
        }
        let service_ms = self.total.service_ms();
        let recent_ms = self.recent(RECENT_ANSWERS).service_ms();
        let is_faster = 2 * recent_ms < service_ms;
        u16::try_from(if is_faster { recent_ms } else { service_ms }).unwrap_or(u16::MAX)
    }

    /// Returns how long each of `slots` slots has taken for its last request, in milliseconds,
    /// including the time since the last answer.
    ///
    /// A server that has become much slower is noticed within this time, long before it has given
    /// the answers that [`Self::service_ms`] needs. In return, a few long requests make it look slow.
    #[must_use]
    pub fn round_ms(&self, slots: u64) -> u64 {
        let recent = self.recent(slots);
        recent.slot_ms / recent.answers.max(slots).max(1)
    }

    /// Returns the last `answers` answers or a few more, and the work since the one before them.
    fn recent(&self, answers: u64) -> Work {
        let mut recent = Work::default();
        for span in self.spans.iter().rev() {
            if recent.answers >= answers && span.work.answers > 0 {
                break;
            }
            recent = recent.plus(span.work);
        }
        recent
    }

    fn add(&mut self, now: Time, work: Work) {
        self.total = self.total.plus(work);
        match self.spans.back_mut() {
            Some(last) if now.since(last.started_at) < SPAN_MS => last.work = last.work.plus(work),
            _ => self.spans.push_back(Span { started_at: now, work }),
        }
    }

    /// Removes spans that are too old, and then the oldest answers with the work before them while
    /// the rest is enough.
    fn drop_old(&mut self, now: Time) {
        while self.spans.front().is_some_and(|oldest| now.since(oldest.started_at) > MAX_WINDOW_MS)
        {
            self.drop_oldest(1);
        }
        while let Some(first) = self.spans.iter().position(|span| span.work.answers > 0)
            && self.is_enough_without(now, first + 1)
        {
            self.drop_oldest(first + 1);
        }
    }

    fn is_enough_without(&self, now: Time, count: usize) -> bool {
        let dropped = self.spans.iter().take(count).map(|span| span.work.answers).sum::<u64>();
        let next = self.spans.get(count).map_or(now, |span| span.started_at);
        self.total.answers - dropped >= MIN_ANSWERS && now.since(next) >= MIN_WINDOW_MS
    }

    fn drop_oldest(&mut self, count: usize) {
        for span in self.spans.drain(..count) {
            self.total = self.total.minus(span.work);
        }
    }
}
