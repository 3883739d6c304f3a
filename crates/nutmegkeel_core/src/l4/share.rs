//! Which callers have had more than their share of a backend server that is short of room.
//!
//! The load pattern: a few callers ask for more than all others together, and the server cannot do it all.
//! First come, first served gives room in proportion to what is asked, so those who ask for little lose as
//! much of it as those who caused the shortage.
//!
//! An agent sees few requests of one caller and rarely two of them at once, so the share is one of work over
//! the last seconds, not of places in a queue. It is the max-min share: what callers asked for is cut at the
//! one level at which all together fit into what the server did. Only the callers that asked for most are
//! told apart; the others ask for too little to be beyond any share. A process that starts knows nobody, and
//! then nobody is beyond a share.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::sync::Arc;

use crate::clock::Time;

/// Pause between two reckonings of the shares, in milliseconds: short beside the time that work counts.
const RECKON_MS: u64 = 100;

/// At each reckoning this power of a half of the work is forgotten, so that work counts for three seconds:
/// long enough to meet a heavy caller several times at one of many agents.
const FORGET_SHIFT: u32 = 5;

/// Reckonings after which nothing is left of the work that was done before.
const FORGOTTEN_AFTER: u64 = 256;

/// Callers told apart at most. An agent serves some hundred requests in the time that work counts, so
/// each caller that has come twice finds a place.
pub const MOST_CALLERS: usize = 1_024;

/// Failure domains told apart at most.
pub const MOST_DOMAINS: usize = 64;

/// A caller is forgotten when less is left of what it asked for than this part of one request.
const TRACE: u64 = 8;

/// How a caller stands with its share; those that compare as less go first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// It has had less than half of its share.
    Light,
    /// It has had no more than its share.
    Within,
    /// The callers of its failure domain together have had more than their shares.
    DomainBeyond,
    /// It has had more than its share itself.
    Beyond,
}

impl Standing {
    /// Word for logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Light => "light",
            Self::Within => "within",
            Self::DomainBeyond => "domain_beyond",
            Self::Beyond => "beyond",
        }
    }
}

/// Work of the last seconds, in microseconds of a slot.
#[derive(Clone, Copy, Debug, Default)]
struct Work {
    asked_us: u64,
    received_us: u64,
}

impl Work {
    const fn forget(&mut self) {
        self.asked_us = forget(self.asked_us);
        self.received_us = forget(self.received_us);
    }
}

/// Rounds down to zero in the end, as a plain shift would not.
const fn forget(work_us: u64) -> u64 {
    work_us - work_us.div_ceil(1 << FORGET_SHIFT)
}

#[derive(Debug)]
struct Caller {
    work: Work,
    domain: Arc<str>,
}

#[derive(Debug, Default)]
struct Domain {
    work: Work,
    /// Whether its callers together had more than their shares at the last reckoning. What they receive
    /// later is not compared with it: until the next reckoning every domain would seem to be beyond.
    is_beyond: bool,
}

/// What callers asked for and received lately.
#[derive(Debug, Default)]
pub struct Shares {
    callers: BTreeMap<Ipv4Addr, Caller>,
    domains: BTreeMap<Arc<str>, Domain>,
    all: Work,
    /// The share of one caller; none while the server does all that is asked.
    level_us: Option<u64>,
    /// Work of one request, as last told.
    request_us: u64,
    reckoned: Time,
}

impl Shares {
    /// Notes that a caller asks for one request, which takes a slot for `work_us`, and the failure domain
    /// that it comes from.
    pub fn ask(&mut self, now: Time, address: Ipv4Addr, domain: &Arc<str>, work_us: u64) {
        self.reckon_if_due(now);
        self.request_us = work_us;
        self.all.asked_us += work_us;
        if let Some(caller) = self.callers.get_mut(&address) {
            caller.work.asked_us += work_us;
        } else if self.callers.len() < MOST_CALLERS {
            let work = Work { asked_us: work_us, received_us: 0 };
            self.callers.insert(address, Caller { work, domain: Arc::clone(domain) });
        }
        if let Some(known) = self.domains.get_mut(domain) {
            known.work.asked_us += work_us;
        } else if self.domains.len() < MOST_DOMAINS {
            let work = Work { asked_us: work_us, received_us: 0 };
            self.domains.insert(Arc::clone(domain), Domain { work, is_beyond: false });
        }
    }

    /// Notes that the server takes a request of a caller.
    pub fn receive(&mut self, now: Time, address: Ipv4Addr, work_us: u64) {
        self.reckon_if_due(now);
        self.all.received_us += work_us;
        let Some(caller) = self.callers.get_mut(&address) else {
            return;
        };
        caller.work.received_us += work_us;
        if let Some(domain) = self.domains.get_mut(&caller.domain) {
            domain.work.received_us += work_us;
        }
    }

    /// How a caller stands with its share.
    #[must_use]
    pub fn standing(&self, address: Ipv4Addr) -> Standing {
        let (Some(share_us), Some(caller)) = (self.share_us(), self.callers.get(&address)) else {
            return Standing::Light;
        };
        let received_us = caller.work.received_us;
        let is_domain_beyond =
            || self.domains.get(&caller.domain).is_some_and(|domain| domain.is_beyond);
        if received_us > share_us {
            Standing::Beyond
        } else if is_domain_beyond() {
            Standing::DomainBeyond
        } else if received_us > share_us / 2 {
            Standing::Within
        } else {
            Standing::Light
        }
    }

    /// Number of callers that are told apart.
    #[must_use]
    pub fn callers(&self) -> usize {
        self.callers.len()
    }

    /// Work that one caller may have had, in microseconds: one request at least, since nobody can have
    /// less than that and be served at all. None while the server does all that is asked.
    #[must_use]
    pub fn share_us(&self) -> Option<u64> {
        self.level_us.map(|level_us| level_us.max(self.request_us))
    }

    fn reckon_if_due(&mut self, now: Time) {
        let rounds = now.since(self.reckoned) / RECKON_MS;
        if rounds == 0 {
            return;
        }
        self.reckoned = now;
        if rounds > FORGOTTEN_AFTER {
            *self = Self { reckoned: now, ..Self::default() };
            return;
        }
        (0..rounds).for_each(|_| self.forget());
        self.drop_light();
        self.reckon();
    }

    fn forget(&mut self) {
        self.all.forget();
        self.callers.values_mut().for_each(|caller| caller.work.forget());
        self.domains.values_mut().for_each(|domain| domain.work.forget());
    }

    /// Makes room for new callers: for one that asks for much may be among them.
    fn drop_light(&mut self) {
        let trace_us = self.request_us / TRACE;
        self.callers.retain(|_, caller| caller.work.asked_us > trace_us);
        self.domains.retain(|_, domain| domain.work.asked_us > 0);
        if self.callers.len() < MOST_CALLERS {
            return;
        }
        let mut asked: Vec<u64> = self.asked().collect();
        let (_, limit, _) = asked.select_nth_unstable(MOST_CALLERS / 4);
        let limit = *limit;
        self.callers.retain(|_, caller| caller.work.asked_us > limit);
    }

    fn asked(&self) -> impl Iterator<Item = u64> + '_ {
        self.callers.values().map(|caller| caller.work.asked_us)
    }

    /// Finds the level at which the callers' work, cut there, fits into what the server did. Callers that
    /// are not told apart count with all that they asked for.
    fn reckon(&mut self) {
        let mut asked: Vec<u64> = self.asked().collect();
        asked.sort_unstable();
        let others_us = self.all.asked_us.saturating_sub(asked.iter().sum());
        self.level_us = level(&asked, self.all.received_us.saturating_sub(others_us));
        self.reckon_domains();
    }

    /// A failure domain's share is the sum of its callers' shares.
    fn reckon_domains(&mut self) {
        let share_us = self.share_us().unwrap_or(u64::MAX);
        let mut cut_us: BTreeMap<Arc<str>, u64> = BTreeMap::new();
        for caller in self.callers.values() {
            let cut = cut_us.entry(Arc::clone(&caller.domain)).or_default();
            *cut += caller.work.asked_us.saturating_sub(share_us);
        }
        for (name, domain) in &mut self.domains {
            let cut_us = cut_us.get(name).copied().unwrap_or_default();
            let share_us = domain.work.asked_us.saturating_sub(cut_us);
            domain.is_beyond = domain.work.received_us > share_us + self.request_us;
        }
    }
}

/// The level at which these amounts, in ascending order, add up to `total` when each is cut there; none if
/// they fit without a cut.
fn level(amounts: &[u64], total: u64) -> Option<u64> {
    let mut left = total;
    for (index, amount) in amounts.iter().enumerate() {
        let sharers = u64::try_from(amounts.len() - index).unwrap_or(u64::MAX);
        if *amount > left / sharers {
            return Some(left / sharers);
        }
        left -= amount;
    }
    None
}
