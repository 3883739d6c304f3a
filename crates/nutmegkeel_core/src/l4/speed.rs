//! How long a slot of the backend server works on one request, also while no slot is ever free.
//!
//! The load pattern: a server becomes several times slower while its heartbeats and health checks stay good.
//! It is full from then on, so no request finds a free slot there any more, and a time learnt only from those
//! that did stays what it was. What always shows is how long its slots were at work for how many answers:
//! requests that queue behind the slots count as no work, and one that is not answered yet counts already.

use std::collections::VecDeque;

use crate::clock::Time;

/// Answers that the time is taken over at least. A few in a hundred requests may take seven times as long as
/// the others; with fewer answers a few of those together would pass for a slow server.
const ANSWERS: u64 = 24;

/// Answers that show a server which has become fast again. Fewer, because it gets little to answer until then;
/// of a slow one whose times spread widely so many are rarely short in a row.
const RECENT_ANSWERS: u64 = 8;

/// Time that it is taken over at least, in milliseconds: one crowding of long requests is no slowness.
const SHORTEST_MS: u64 = 500;

/// What is older counts no more, in milliseconds. A longer time of service is cut off here too: clients have
/// given up by then, so that beyond it the server may as well never answer.
pub const LONGEST_MS: u64 = 10_000;

/// Work is added up over spans of this length, in milliseconds, which bounds the memory of a meter.
const SPAN_MS: u64 = 50;

/// A gap between two looks longer than this means that this process stood still, in milliseconds: it cannot
/// know for how long the slots were at work meanwhile.
const STANDSTILL_MS: u64 = 400;

/// Work of the slots and answers within a span.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Work {
    slot_ms: u64,
    answers: u64,
}

impl Work {
    const fn plus(self, other: Self) -> Self {
        Self { slot_ms: self.slot_ms + other.slot_ms, answers: self.answers + other.answers }
    }

    /// Time that a slot works on a request, in milliseconds. Work without answers counts as that of one request.
    fn service_ms(self) -> u64 {
        let answers = self.answers.max(1);
        let service_ms = (self.slot_ms + answers / 2) / answers;
        service_ms.clamp(1, LONGEST_MS)
    }

    const fn minus(self, other: Self) -> Self {
        Self { slot_ms: self.slot_ms - other.slot_ms, answers: self.answers - other.answers }
    }
}

#[derive(Clone, Copy, Debug)]
struct Span {
    began: Time,
    work: Work,
}

/// Measures the time of service of one backend server.
#[derive(Debug)]
pub struct Meter {
    /// Slots at work since the last look.
    working: u64,
    looked: Time,
    /// The oldest first.
    spans: VecDeque<Span>,
    total: Work,
}

impl Meter {
    /// A meter of a server of which nothing is known yet.
    #[must_use]
    pub const fn open(now: Time) -> Self {
        let total = Work { slot_ms: 0, answers: 0 };
        Self { working: 0, looked: now, spans: VecDeque::new(), total }
    }

    /// Forgets all: another server runs, or the same one has become warm.
    pub fn clear(&mut self) {
        self.spans.clear();
        self.total = Work::default();
    }

    /// Notes an answer.
    pub fn answered(&mut self, now: Time) {
        self.add(now, Work { slot_ms: 0, answers: 1 });
    }

    /// Notes how many slots are at work from now on.
    pub fn look(&mut self, now: Time, working: u64) {
        let passed_ms = now.since(self.looked);
        if passed_ms > STANDSTILL_MS {
            self.clear();
        } else {
            self.add(now, Work { slot_ms: passed_ms * self.working, answers: 0 });
        }
        self.looked = now;
        self.working = working;
        self.forget(now);
    }

    /// Time that a slot works on a request, in milliseconds; zero while it is not known.
    ///
    /// Work counts before it is answered. Guards against a server that takes requests and never answers, which
    /// would look fast by the answers that it gave before.
    #[must_use]
    pub fn service_ms(&self) -> u16 {
        if self.total.answers < ANSWERS && self.total.slot_ms < LONGEST_MS {
            return 0;
        }
        let service_ms = self.total.service_ms();
        let recent_ms = self.recent().service_ms();
        let is_faster = 2 * recent_ms < service_ms;
        u16::try_from(if is_faster { recent_ms } else { service_ms }).unwrap_or(u16::MAX)
    }

    /// The last few answers, and the work since the one before them.
    fn recent(&self) -> Work {
        let mut recent = Work::default();
        for span in self.spans.iter().rev() {
            if recent.answers >= RECENT_ANSWERS && span.work.answers > 0 {
                break;
            }
            recent = recent.plus(span.work);
        }
        recent
    }

    fn add(&mut self, now: Time, work: Work) {
        self.total = self.total.plus(work);
        match self.spans.back_mut() {
            Some(last) if now.since(last.began) < SPAN_MS => last.work = last.work.plus(work),
            _ => self.spans.push_back(Span { began: now, work }),
        }
    }

    /// Drops what is too old, and the oldest answers with the work before them as long as the rest is enough.
    fn forget(&mut self, now: Time) {
        while self.spans.front().is_some_and(|oldest| now.since(oldest.began) > LONGEST_MS) {
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
        let next = self.spans.get(count).map_or(now, |span| span.began);
        self.total.answers - dropped >= ANSWERS && now.since(next) >= SHORTEST_MS
    }

    fn drop_oldest(&mut self, count: usize) {
        for span in self.spans.drain(..count) {
            self.total = self.total.minus(span.work);
        }
    }
}
