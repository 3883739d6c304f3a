//! Randomized fault-injection runs of a simulated fleet, with invariants checked throughout.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use nutmegkeel_core::class::Target;
use nutmegkeel_core::clock::Time;
use nutmegkeel_core::configuration::{Entry, Revision};
use nutmegkeel_core::member::{Instance, Record};
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};

use crate::fleet::{Fleet, agent, balancer};

const BALANCERS: u16 = 4;
const AGENTS: u16 = 12;
/// Time for all members of a new fleet to discover each other, in milliseconds.
const FORMATION_MS: u64 = 15_000;
/// Time after the last fault within which all members must agree, in milliseconds.
const RECOVERY_MS: u64 = 40_000;
/// Time after a fault during which others may still declare the process dead, in milliseconds.
const DISTURBANCE_MS: u64 = 30_000;

/// A fault, or the end of one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process is killed; [`Fault::Restart`] may start a later run.
    Kill(SocketAddr),
    /// A later run of a killed process starts.
    Restart(SocketAddr),
    /// The process is suspended.
    Freeze(SocketAddr),
    /// A suspended process resumes.
    Thaw(SocketAddr),
    /// A network partition separates these processes, all of one failure domain, from all others.
    Cut(Vec<SocketAddr>),
    /// The network partition ends.
    Heal,
    /// The network loses this percentage of all messages.
    Loss(u32),
    /// An operator's change with this revision reaches one process.
    Change(SocketAddr, u64),
}

/// A violated invariant, with the faults that were injected before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Description of the violation.
    pub invariant: String,
    /// Injected faults, each with its time in milliseconds.
    pub faults: Vec<(u64, Fault)>,
}

struct Run {
    fleet: Fleet,
    rng: SmallRng,
    faults: Vec<(u64, Fault)>,
    dead: BTreeMap<SocketAddr, Record>,
    frozen: Vec<SocketAddr>,
    disturbed_until: BTreeMap<SocketAddr, Time>,
    revisions: BTreeMap<SocketAddr, Revision>,
    latest_revision: u64,
    checked_deaths: usize,
}

/// Runs a simulated fleet through `faults` random faults.
///
/// # Errors
/// The first invariant that was violated, with the faults that led to it.
pub fn run(seed: u64, faults: usize) -> Result<(), Violation> {
    let mut run = Run::open(seed);
    run.advance(FORMATION_MS)?;
    for _ in 0..faults {
        let fault = run.random_fault();
        run.inject(fault);
        let millis = run.rng.random_range(100..5_000);
        run.advance(millis)?;
    }
    run.end_all_faults();
    run.advance(RECOVERY_MS)?;
    run.check_agreement()
}

impl Run {
    fn open(seed: u64) -> Self {
        let agents = (100..100 + AGENTS).map(|number| agent(number, "intake"));
        Self {
            fleet: Fleet::open((0..BALANCERS).map(balancer).chain(agents).collect(), seed),
            rng: SmallRng::seed_from_u64(seed),
            faults: Vec::new(),
            dead: BTreeMap::new(),
            frozen: Vec::new(),
            disturbed_until: BTreeMap::new(),
            revisions: BTreeMap::new(),
            latest_revision: 0,
            checked_deaths: 0,
        }
    }

    fn random_fault(&mut self) -> Fault {
        let halted = &self.fleet.halted;
        let running = self.fleet.peers.keys().filter(|peer| !halted.contains(*peer));
        let victim = running.copied().choose(&mut self.rng);
        match (self.rng.random_range(0..9), victim) {
            (0, Some(victim)) => Fault::Kill(victim),
            (1, Some(victim)) => Fault::Freeze(victim),
            (2, _) => self.dead.keys().next().map_or(Fault::Heal, |dead| Fault::Restart(*dead)),
            (3, _) => self.frozen.first().map_or(Fault::Heal, |frozen| Fault::Thaw(*frozen)),
            (4, _) => Fault::Cut(self.domain()),
            (5, _) => Fault::Loss(self.rng.random_range(0..=10)),
            (6 | 7, Some(victim)) => {
                self.latest_revision += 1;
                Fault::Change(victim, self.latest_revision)
            }
            _ => Fault::Heal,
        }
    }

    fn domain(&mut self) -> Vec<SocketAddr> {
        let name = format!("domain-{}", self.rng.random_range(0..3));
        let records = self.fleet.peers.values().map(|peer| peer.membership().me());
        let inside = records.filter(|record| *record.domain == *name);
        inside.map(|record| record.address).collect()
    }

    fn inject(&mut self, fault: Fault) {
        self.faults.push((self.fleet.now.millis(), fault.clone()));
        match fault {
            Fault::Kill(address) => {
                if let Some(peer) = self.fleet.peers.get(&address) {
                    self.dead.insert(address, peer.membership().me().clone());
                }
                self.fleet.halted.insert(address);
                self.record_disturbance(&[address]);
            }
            Fault::Restart(address) => {
                if let Some(earlier) = self.dead.remove(&address) {
                    let instance = Instance::new(earlier.instance.number() + 1);
                    self.fleet.start(Record { instance, version: 0, ..earlier });
                    self.revisions.remove(&address);
                }
                self.record_disturbance(&[address]);
            }
            Fault::Freeze(address) => {
                self.fleet.halted.insert(address);
                self.frozen.push(address);
                self.record_disturbance(&[address]);
            }
            Fault::Thaw(address) => {
                self.fleet.halted.remove(&address);
                self.frozen.retain(|frozen| *frozen != address);
                self.record_disturbance(&[address]);
            }
            Fault::Cut(inside) => {
                let before: Vec<SocketAddr> = self.fleet.partitioned.iter().copied().collect();
                self.record_disturbance(&before);
                self.record_disturbance(&inside);
                self.fleet.partitioned = inside.into_iter().collect();
            }
            Fault::Heal => {
                let inside: Vec<SocketAddr> = self.fleet.partitioned.iter().copied().collect();
                self.record_disturbance(&inside);
                self.fleet.partitioned.clear();
            }
            Fault::Loss(percent) => self.fleet.loss_percent = percent,
            Fault::Change(address, revision) => {
                let target = Some(Target::default());
                let revision = Revision(revision);
                self.fleet.learn(address, Entry { name: "intake".into(), revision, target });
            }
        }
    }

    fn record_disturbance(&mut self, addresses: &[SocketAddr]) {
        for address in addresses {
            self.disturbed_until.insert(*address, self.fleet.now.after(DISTURBANCE_MS));
        }
    }

    fn end_all_faults(&mut self) {
        self.inject(Fault::Loss(0));
        self.inject(Fault::Heal);
        for address in self.frozen.clone() {
            self.inject(Fault::Thaw(address));
        }
        for address in self.dead.keys().copied().collect::<Vec<_>>() {
            self.inject(Fault::Restart(address));
        }
    }

    /// Advances time in small steps and checks the invariants after each.
    fn advance(&mut self, millis: u64) -> Result<(), Violation> {
        const STEP_MS: u64 = 250;
        let until = self.fleet.now.after(millis);
        while self.fleet.now < until {
            self.fleet.run_for(STEP_MS);
            self.check_deaths()?;
            self.check_revisions()?;
        }
        Ok(())
    }

    /// Checks that only recently disturbed processes are declared dead. Observers inside a
    /// partition may declare any process dead.
    fn check_deaths(&mut self) -> Result<(), Violation> {
        let now = self.fleet.now;
        let excused = |address: &SocketAddr| {
            let halted =
                self.fleet.halted.contains(address) || self.fleet.partitioned.contains(address);
            halted || self.disturbed_until.get(address).is_some_and(|until| now <= *until)
        };
        let deaths = &self.fleet.declared_dead[self.checked_deaths..];
        let unexpected = deaths
            .iter()
            .find(|(observer, gone)| !excused(gone) && !self.fleet.partitioned.contains(observer));
        if let Some((observer, gone)) = unexpected {
            return Err(
                self.violation(format!("{observer} declared {gone} dead, which was healthy"))
            );
        }
        self.checked_deaths = self.fleet.declared_dead.len();
        Ok(())
    }

    /// Checks that no process returns to an earlier configuration.
    fn check_revisions(&mut self) -> Result<(), Violation> {
        for (address, peer) in &self.fleet.peers {
            let revision = peer.configuration().revision();
            let before = self.revisions.insert(*address, revision).unwrap_or_default();
            if revision < before {
                return Err(
                    self.violation(format!("{address} reverted from {before:?} to {revision:?}"))
                );
            }
        }
        Ok(())
    }

    /// Checks that every process lists every other one, and that all have the newest configuration
    /// that any of them has.
    fn check_agreement(&self) -> Result<(), Violation> {
        if !self.fleet.has_full_membership() {
            return Err(self.violation("membership is incomplete".to_owned()));
        }
        let revisions = self.fleet.peers.values().map(|peer| peer.configuration().revision());
        let newest = revisions.clone().max().unwrap_or_default();
        let behind = revisions.filter(|revision| *revision < newest).count();
        if behind > 0 {
            return Err(self.violation(format!("{behind} processes are behind {newest:?}")));
        }
        Ok(())
    }

    fn violation(&self, invariant: String) -> Violation {
        Violation { invariant, faults: self.faults.clone() }
    }
}
