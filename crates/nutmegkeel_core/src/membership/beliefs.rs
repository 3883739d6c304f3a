//! Records and health of all other processes, with sets by health and an incremental digest.
//!
//! A change takes logarithmic time in the number of processes, and a tick visits only those that
//! are suspect or dead. Iterating over all of them at each tick would take too long with 200,000
//! processes.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use rand::Rng;
use rand::rngs::SmallRng;

use crate::clock::Time;
use crate::member::{Health, Record, Rumor};

/// Record and health of one process.
#[derive(Clone, Debug)]
pub(super) struct Belief {
    pub(super) rumor: Rumor,
    /// When the record or health last changed.
    pub(super) since: Time,
    /// Send time of the first own probe that went unanswered since the process became suspect.
    pub(super) failed_at: Option<Time>,
    /// Index in [`Beliefs::living`].
    index: usize,
}

/// Records and health of all other processes.
#[derive(Debug, Default)]
pub(super) struct Beliefs {
    known: BTreeMap<SocketAddr, Belief>,
    living: Vec<SocketAddr>,
    suspects: BTreeSet<SocketAddr>,
    dead: BTreeSet<SocketAddr>,
    digest: u64,
}

impl Beliefs {
    pub(super) fn get(&self, address: SocketAddr) -> Option<&Belief> {
        self.known.get(&address)
    }

    pub(super) fn rumors(&self) -> impl Iterator<Item = &Rumor> {
        self.known.values().map(|belief| &belief.rumor)
    }

    pub(super) fn len(&self) -> usize {
        self.known.len()
    }

    pub(super) fn living(&self) -> &[SocketAddr] {
        &self.living
    }

    pub(super) fn suspects(&self) -> impl Iterator<Item = &Belief> {
        self.suspects.iter().filter_map(|address| self.known.get(address))
    }

    pub(super) fn suspect_count(&self) -> usize {
        self.suspects.len()
    }

    /// Returns the sum of the fingerprints of all living records. Equal views have equal digests.
    pub(super) const fn digest(&self) -> u64 {
        self.digest
    }

    /// Replaces the record and health of a process.
    pub(super) fn set(&mut self, now: Time, rumor: Rumor) {
        let address = rumor.record.address;
        self.remove(address);
        let index = self.living.len();
        if rumor.is_living() {
            self.living.push(address);
            self.digest = self.digest.wrapping_add(fingerprint(&rumor.record));
            if rumor.health == Health::Suspect {
                self.suspects.insert(address);
            }
        } else {
            self.dead.insert(address);
        }
        self.known.insert(address, Belief { rumor, since: now, failed_at: None, index });
    }

    /// Records an unanswered probe of a process that was sent at `sent`.
    pub(super) fn record_failure(&mut self, address: SocketAddr, sent: Time) {
        if let Some(belief) = self.known.get_mut(&address) {
            belief.failed_at.get_or_insert(sent);
        }
    }

    /// Restarts the timeouts of all suspicions and drops the evidence for them.
    pub(super) fn restart_suspicions(&mut self, now: Time) {
        for address in &self.suspects {
            if let Some(belief) = self.known.get_mut(address) {
                belief.since = now;
                belief.failed_at = None;
            }
        }
    }

    /// Removes the processes that have been dead for `millis`.
    pub(super) fn purge_dead(&mut self, now: Time, millis: u64) {
        let known = &self.known;
        let is_due = |address: &SocketAddr| {
            known.get(address).is_none_or(|belief| now.since(belief.since) >= millis)
        };
        let due: Vec<SocketAddr> = self.dead.iter().copied().filter(is_due).collect();
        for address in due {
            self.remove(address);
        }
    }

    /// Returns up to `count` distinct living processes other than `except`, chosen uniformly at
    /// random.
    pub(super) fn sample(
        &self,
        rng: &mut SmallRng,
        count: usize,
        except: Option<SocketAddr>,
    ) -> Vec<SocketAddr> {
        const TRIES: usize = 4;
        let mut drawn = BTreeSet::new();
        if self.living.is_empty() {
            return Vec::new();
        }
        for _ in 0..count * TRIES {
            let address = self.living[rng.random_range(0..self.living.len())];
            if Some(address) != except && drawn.len() < count {
                drawn.insert(address);
            }
        }
        drawn.into_iter().collect()
    }

    fn remove(&mut self, address: SocketAddr) {
        let Some(belief) = self.known.remove(&address) else {
            return;
        };
        self.suspects.remove(&address);
        if self.dead.remove(&address) {
            return;
        }
        self.digest = self.digest.wrapping_sub(fingerprint(&belief.rumor.record));
        self.living.swap_remove(belief.index);
        if let Some(moved) = self.living.get(belief.index).copied()
            && let Some(moved) = self.known.get_mut(&moved)
        {
            moved.index = belief.index;
        }
    }
}

/// Returns a hash of the address, instance and version of a record.
pub(super) fn fingerprint(record: &Record) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(record.address.to_string().as_bytes());
    hasher.update(&record.instance.number().to_be_bytes());
    hasher.update(&record.version.to_be_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_be_bytes(first)
}
