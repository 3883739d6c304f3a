//! Callers' shares of a backend server that is short of room, and which callers are beyond theirs.
//!
//! Shares matter when a few callers request more than all others together and the server cannot
//! serve everything. First come, first served gives room in proportion to demand, so callers with
//! little demand lose the same fraction of it as those that caused the shortage.
//!
//! An agent sees few requests of one caller, and rarely two of them at once. The share is therefore
//! one of the work of the last seconds, not of positions in a queue. It is the max-min fair share:
//! each caller's demand is capped at the one level at which all demand together fits into the work
//! that the server did.
//!
//! Only the callers with the most demand are tracked; the others request too little to be beyond
//! any share. A process that has just started tracks no callers, and then none is beyond its share.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::sync::Arc;

use crate::clock::Time;

/// Interval between two updates of the shares, in milliseconds. It is short compared with the three
/// seconds for which work counts.
const UPDATE_INTERVAL_MS: u64 = 100;

/// Decay of the recorded work: each update subtracts 1/2^5 of it, so that work counts for about
/// three seconds. This is long enough for a heavy caller to reach one of many agents several times.
const DECAY_SHIFT: u32 = 5;

/// Number of updates after which all recorded work has decayed.
const DECAYED_AFTER: u64 = 256;

/// Maximum number of tracked callers. An agent serves a few hundred requests in the time that work
/// counts, so each caller with two requests in that time can be tracked.
pub const MAX_CALLERS: usize = 1_024;

/// Maximum number of tracked failure domains.
pub const MAX_DOMAINS: usize = 64;

/// A caller is evicted when its remaining demand falls to 1/8 of one request.
const EVICTION_DIVISOR: u64 = 8;

/// How the work of a caller compares with its share; lower values go first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// It used at most half of its share.
    Light,
    /// It used no more than its share.
    Within,
    /// The callers of its failure domain together used more than their shares.
    DomainBeyond,
    /// It used more than its share itself.
    Beyond,
}

impl Standing {
    /// Returns the name for logs and metrics.
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

/// Work of the last seconds, in microseconds for which a slot is occupied.
#[derive(Clone, Copy, Debug, Default)]
struct Work {
    requested_us: u64,
    served_us: u64,
}

impl Work {
    const fn decay(&mut self) {
        self.requested_us = decay(self.requested_us);
        self.served_us = decay(self.served_us);
    }
}

/// Subtracts the decayed part, rounded up, so that the work reaches zero. With a plain shift, a
/// remainder would stay forever.
const fn decay(work_us: u64) -> u64 {
    work_us - work_us.div_ceil(1 << DECAY_SHIFT)
}

#[derive(Debug)]
struct Caller {
    work: Work,
    domain: Arc<str>,
}

#[derive(Debug, Default)]
struct Domain {
    work: Work,
    /// Whether its callers together were beyond their shares at the last update. Work after the
    /// update is not compared with the shares, because every domain would then seem to be beyond
    /// until the next update.
    is_beyond: bool,
}

/// Recent demand and served work of callers and failure domains.
#[derive(Debug, Default)]
pub struct Shares {
    callers: BTreeMap<Ipv4Addr, Caller>,
    domains: BTreeMap<Arc<str>, Domain>,
    all: Work,
    /// Share of one caller; `None` while the server serves all requests.
    level_us: Option<u64>,
    /// Work of one request, from the latest call.
    request_us: u64,
    updated_at: Time,
}

impl Shares {
    /// Records a request of a caller in a failure domain. The request occupies a slot for
    /// `work_us`.
    pub fn record_request(
        &mut self,
        now: Time,
        address: Ipv4Addr,
        domain: &Arc<str>,
        work_us: u64,
    ) {
        self.update_if_due(now);
        self.request_us = work_us;
        self.all.requested_us += work_us;
        if let Some(caller) = self.callers.get_mut(&address) {
            caller.work.requested_us += work_us;
        } else if self.callers.len() < MAX_CALLERS {
            let work = Work { requested_us: work_us, served_us: 0 };
            self.callers.insert(address, Caller { work, domain: Arc::clone(domain) });
        }
        if let Some(known) = self.domains.get_mut(domain) {
            known.work.requested_us += work_us;
        } else if self.domains.len() < MAX_DOMAINS {
            let work = Work { requested_us: work_us, served_us: 0 };
            self.domains.insert(Arc::clone(domain), Domain { work, is_beyond: false });
        }
    }

    /// Records that the server takes a request of a caller.
    pub fn record_served(&mut self, now: Time, address: Ipv4Addr, work_us: u64) {
        self.update_if_due(now);
        self.all.served_us += work_us;
        let Some(caller) = self.callers.get_mut(&address) else {
            return;
        };
        caller.work.served_us += work_us;
        if let Some(domain) = self.domains.get_mut(&caller.domain) {
            domain.work.served_us += work_us;
        }
    }

    /// Returns how the work of a caller compares with its share.
    #[must_use]
    pub fn standing(&self, address: Ipv4Addr) -> Standing {
        let (Some(share_us), Some(caller)) = (self.share_us(), self.callers.get(&address)) else {
            return Standing::Light;
        };
        let served_us = caller.work.served_us;
        let is_domain_beyond =
            || self.domains.get(&caller.domain).is_some_and(|domain| domain.is_beyond);
        if served_us > share_us {
            Standing::Beyond
        } else if is_domain_beyond() {
            Standing::DomainBeyond
        } else if served_us > share_us / 2 {
            Standing::Within
        } else {
            Standing::Light
        }
    }

    /// Returns the number of tracked callers.
    #[must_use]
    pub fn callers(&self) -> usize {
        self.callers.len()
    }

    /// Returns the share of one caller, in microseconds of work; `None` while the server serves all
    /// requests. It is at least one request, because a caller that is served at all cannot have
    /// less.
    #[must_use]
    pub fn share_us(&self) -> Option<u64> {
        self.level_us.map(|level_us| level_us.max(self.request_us))
    }

    fn update_if_due(&mut self, now: Time) {
        let rounds = now.since(self.updated_at) / UPDATE_INTERVAL_MS;
        if rounds == 0 {
            return;
        }
        self.updated_at = now;
        if rounds > DECAYED_AFTER {
            *self = Self { updated_at: now, ..Self::default() };
            return;
        }
        (0..rounds).for_each(|_| self.decay());
        self.evict_light();
        self.compute_level();
    }

    fn decay(&mut self) {
        self.all.decay();
        self.callers.values_mut().for_each(|caller| caller.work.decay());
        self.domains.values_mut().for_each(|domain| domain.work.decay());
    }

    /// Evicts callers with little demand, and the lightest quarter if the table is full. New
    /// callers need room, because a heavy one may be among them.
    fn evict_light(&mut self) {
        let eviction_us = self.request_us / EVICTION_DIVISOR;
        self.callers.retain(|_, caller| caller.work.requested_us > eviction_us);
        self.domains.retain(|_, domain| domain.work.requested_us > 0);
        if self.callers.len() < MAX_CALLERS {
            return;
        }
        let mut requested: Vec<u64> = self.requested().collect();
        let (_, limit, _) = requested.select_nth_unstable(MAX_CALLERS / 4);
        let limit = *limit;
        self.callers.retain(|_, caller| caller.work.requested_us > limit);
    }

    fn requested(&self) -> impl Iterator<Item = u64> + '_ {
        self.callers.values().map(|caller| caller.work.requested_us)
    }

    /// Computes the level at which the callers' capped demand fits into the work that the server
    /// did. The demand of callers that are not tracked counts in full.
    fn compute_level(&mut self) {
        let mut requested: Vec<u64> = self.requested().collect();
        requested.sort_unstable();
        let others_us = self.all.requested_us.saturating_sub(requested.iter().sum());
        self.level_us = level(&requested, self.all.served_us.saturating_sub(others_us));
        self.compute_domains();
    }

    /// Updates which failure domains are beyond their shares. The share of a domain is the sum of
    /// its callers' shares.
    fn compute_domains(&mut self) {
        let share_us = self.share_us().unwrap_or(u64::MAX);
        let mut cut_us: BTreeMap<Arc<str>, u64> = BTreeMap::new();
        for caller in self.callers.values() {
            let cut = cut_us.entry(Arc::clone(&caller.domain)).or_default();
            *cut += caller.work.requested_us.saturating_sub(share_us);
        }
        for (name, domain) in &mut self.domains {
            let cut_us = cut_us.get(name).copied().unwrap_or_default();
            let share_us = domain.work.requested_us.saturating_sub(cut_us);
            domain.is_beyond = domain.work.served_us > share_us + self.request_us;
        }
    }
}

/// Returns the cap at which these amounts, in ascending order, add up to `total`; `None` if they
/// fit without a cap.
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
