//! What balancers say of themselves to each other.

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::sync::Arc;

use super::message::Roster;
use crate::clock::Time;
use crate::placement::mix;

/// A balancer's word counts for so long at least, in milliseconds: three of its ticks.
pub const COUNTED_MS: u64 = 1_500;

/// Balancers of a failure domain that act for all of it. Two, so that one that dies or is cut off leaves no
/// gap; more would only repeat their calls to the store.
pub const DELEGATES: usize = 2;

/// Rounds of gossip after which a balancer's word no longer counts: one may be lost.
const ROUNDS: u64 = 2;

/// Pause of a delegate between two watches after a change, in milliseconds: a burst of changes is read with a
/// few calls, since each is paid for.
const COALESCE_MS: u64 = 400;

/// Pause of a delegate before it watches the store again after a change, in milliseconds, if its last watch
/// lasted for `lasted_ms`.
///
/// The load pattern: changes in quick succession. Two delegates that were both waiting hear of the first
/// one in the same moment, and with equal pauses would both miss the next for as long. The second pauses for
/// half the time then, so that they take turns: a change is seen within half a pause, for no more calls.
#[must_use]
pub const fn pause_after_change_ms(rank: usize, lasted_ms: u64) -> u64 {
    let had_waited = lasted_ms >= COALESCE_MS / 2;
    if rank > 0 && had_waited { COALESCE_MS / 2 } else { COALESCE_MS }
}

/// A balancer that may be a delegate, in the order in which they are named.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Contender {
    is_cut_off: bool,
    weight: u64,
    balancer: Ipv4Addr,
    said: Time,
}

impl Contender {
    fn of(balancer: Ipv4Addr, reaches_store: bool, said: Time) -> Self {
        let weight = mix(u64::from(balancer.to_bits()));
        Self { is_cut_off: !reaches_store, weight, balancer, said }
    }
}

/// What one balancer said of itself.
#[derive(Clone, Debug)]
pub struct Word {
    /// When it said so.
    pub said: Time,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Agents that it hears of.
    pub agents: usize,
    /// Version of its configuration; zero while it has none.
    pub version: u64,
    /// Whether the store answered its last call.
    pub reaches_store: bool,
    /// Whether it is about to stop. It still carries packets, and hears of agents.
    pub leaving: bool,
}

/// The last word of each balancer.
#[derive(Debug, Default)]
pub struct Words {
    words: BTreeMap<Ipv4Addr, Word>,
    /// Time in which every balancer speaks once, in milliseconds.
    round_ms: u64,
}

impl Words {
    /// Takes in a balancer's word.
    pub fn hear(&mut self, now: Time, from: Ipv4Addr, roster: &Roster) {
        let word = Word {
            said: now,
            domain: Arc::clone(&roster.domain),
            agents: usize::try_from(roster.agents).unwrap_or(usize::MAX),
            version: roster.version,
            reaches_store: roster.reaches_store,
            leaving: roster.leaving,
        };
        self.words.insert(from, word);
    }

    /// The last word of a balancer, however old.
    #[must_use]
    pub fn get(&self, balancer: Ipv4Addr) -> Option<&Word> {
        self.words.get(&balancer)
    }

    /// Forgets a balancer that said it stops.
    pub fn remove(&mut self, balancer: Ipv4Addr) {
        self.words.remove(&balancer);
    }

    /// Notes in which time every balancer speaks once. Guards against words that are out of date before
    /// the next one comes: gossip goes to a few balancers at a time, and with 59 of them each hears
    /// another only each 4 s.
    pub fn set_round(&mut self, round_ms: u64) {
        self.round_ms = round_ms;
    }

    /// How long a word counts now, in milliseconds.
    #[must_use]
    pub fn counted_ms(&self) -> u64 {
        COUNTED_MS.max(ROUNDS * self.round_ms + COUNTED_MS / 2)
    }

    /// The words that count.
    pub fn recent(&self, now: Time) -> impl Iterator<Item = (Ipv4Addr, &Word)> + '_ {
        let counted_ms = self.counted_ms();
        let recent = self.words.iter().filter(move |(_, word)| now.since(word.said) <= counted_ms);
        recent.map(|(balancer, word)| (*balancer, word))
    }

    /// The words that count, of balancers of one failure domain.
    pub fn of_domain<'a>(
        &'a self,
        now: Time,
        domain: &'a str,
    ) -> impl Iterator<Item = (Ipv4Addr, &'a Word)> + 'a {
        self.recent(now).filter(move |(_, word)| *word.domain == *domain)
    }

    /// Number of failure domains of the balancers whose words count.
    #[must_use]
    pub fn domains(&self, now: Time) -> u64 {
        let domains: BTreeSet<&str> = self.recent(now).map(|(_, word)| &*word.domain).collect();
        u64::try_from(domains.len()).unwrap_or(u64::MAX)
    }

    /// The words of the last moment: what depends on the present, such as how many agents a balancer hears of,
    /// is out of date sooner than who the balancers are.
    pub fn fresh(&self, now: Time) -> impl Iterator<Item = (Ipv4Addr, &Word)> + '_ {
        self.staying(now).filter(move |(_, word)| now.since(word.said) <= COUNTED_MS)
    }

    /// The words that count, of balancers that are not about to stop.
    pub fn staying(&self, now: Time) -> impl Iterator<Item = (Ipv4Addr, &Word)> + '_ {
        self.recent(now).filter(|(_, word)| !word.leaving)
    }

    /// The balancers that act for a failure domain towards the store, by the words that count and `own`, the
    /// asking balancer itself: a hash names the first two among those that the store answers, or among all
    /// if it answers none of them. One that has been silent for `patience_ms` is passed over.
    ///
    /// The load pattern: every process that calls the store by itself costs as many calls as there are
    /// hosts, most of all while the store is away and each tries again.
    #[must_use]
    pub fn delegates(
        &self,
        now: Time,
        domain: &str,
        own: Option<(Ipv4Addr, bool)>,
        patience_ms: u64,
    ) -> Vec<Ipv4Addr> {
        let near = self.of_domain(now, domain).filter(|(_, word)| !word.leaving);
        let near =
            near.map(|(balancer, word)| Contender::of(balancer, word.reaches_store, word.said));
        let own = own.map(|(balancer, reaches)| Contender::of(balancer, reaches, now));
        let mut ranked: Vec<_> = near.chain(own).collect();
        ranked.sort_unstable();
        let mut delegates = Vec::new();
        let mut vacated = Time::ZERO;
        for contender in ranked {
            // The next in line has not spoken as a delegate does before the one ahead of it was passed over.
            let limit = contender.said.max(vacated).after(patience_ms);
            if now > limit {
                vacated = limit;
                continue;
            }
            delegates.push(contender.balancer);
            if delegates.len() == DELEGATES {
                break;
            }
        }
        delegates
    }

    /// Drops words that do not count any more.
    pub fn expire(&mut self, now: Time) {
        let counted_ms = self.counted_ms();
        self.words.retain(|_, word| now.since(word.said) <= counted_ms);
    }
}
