//! Long random runs of a fleet under faults in any mixture, with what must hold checked all along.

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
/// Time for a fleet to find itself, in milliseconds.
const FORM_MS: u64 = 15_000;
/// After the last fault everybody agrees within so long, in milliseconds.
const HEAL_MS: u64 = 40_000;
/// A process that was in trouble may be given up for so long afterwards, in milliseconds.
const TROUBLE_MS: u64 = 30_000;

/// One fault, or its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process dies, and a later run starts in its place after some time.
    Kill(SocketAddr),
    /// A later run of a dead process starts.
    Restart(SocketAddr),
    /// The process freezes.
    Freeze(SocketAddr),
    /// It wakes.
    Thaw(SocketAddr),
    /// A failure domain is cut off.
    Cut(Vec<SocketAddr>),
    /// The cut heals.
    Heal,
    /// So many percent of all messages are lost.
    Loss(u32),
    /// An operator's change comes in at a balancer.
    Change(SocketAddr, u64),
}

/// A promise that was broken, with all that happened before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Broken {
    /// The promise.
    pub promise: String,
    /// When each fault came, in milliseconds.
    pub record: Vec<(u64, Fault)>,
}

struct Run {
    fleet: Fleet,
    rng: SmallRng,
    record: Vec<(u64, Fault)>,
    dead: BTreeMap<SocketAddr, Record>,
    frozen: Vec<SocketAddr>,
    trouble: BTreeMap<SocketAddr, Time>,
    revisions: BTreeMap<SocketAddr, Revision>,
    newest: u64,
    seen: usize,
}

/// Runs one fleet through `faults` random faults.
///
/// # Errors
/// The first promise that was broken, with the record of faults that led to it.
pub fn run(seed: u64, faults: usize) -> Result<(), Broken> {
    let mut run = Run::open(seed);
    run.pass(FORM_MS)?;
    for _ in 0..faults {
        let fault = run.draw();
        run.inflict(fault);
        let millis = run.rng.random_range(100..5_000);
        run.pass(millis)?;
    }
    run.end_all_faults();
    run.pass(HEAL_MS)?;
    run.check_agreement()
}

impl Run {
    fn open(seed: u64) -> Self {
        let agents = (100..100 + AGENTS).map(|number| agent(number, "intake"));
        Self {
            fleet: Fleet::open((0..BALANCERS).map(balancer).chain(agents).collect(), seed),
            rng: SmallRng::seed_from_u64(seed),
            record: Vec::new(),
            dead: BTreeMap::new(),
            frozen: Vec::new(),
            trouble: BTreeMap::new(),
            revisions: BTreeMap::new(),
            newest: 0,
            seen: 0,
        }
    }

    fn draw(&mut self) -> Fault {
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
                self.newest += 1;
                Fault::Change(victim, self.newest)
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

    fn inflict(&mut self, fault: Fault) {
        self.record.push((self.fleet.now.millis(), fault.clone()));
        match fault {
            Fault::Kill(address) => {
                if let Some(peer) = self.fleet.peers.get(&address) {
                    self.dead.insert(address, peer.membership().me().clone());
                }
                self.fleet.halted.insert(address);
                self.note_trouble(&[address]);
            }
            Fault::Restart(address) => {
                if let Some(earlier) = self.dead.remove(&address) {
                    let instance = Instance::new(earlier.instance.number() + 1);
                    self.fleet.start(Record { instance, version: 0, ..earlier });
                    self.revisions.remove(&address);
                }
                self.note_trouble(&[address]);
            }
            Fault::Freeze(address) => {
                self.fleet.halted.insert(address);
                self.frozen.push(address);
                self.note_trouble(&[address]);
            }
            Fault::Thaw(address) => {
                self.fleet.halted.remove(&address);
                self.frozen.retain(|frozen| *frozen != address);
                self.note_trouble(&[address]);
            }
            Fault::Cut(inside) => {
                let before: Vec<SocketAddr> = self.fleet.island.iter().copied().collect();
                self.note_trouble(&before);
                self.note_trouble(&inside);
                self.fleet.island = inside.into_iter().collect();
            }
            Fault::Heal => {
                let inside: Vec<SocketAddr> = self.fleet.island.iter().copied().collect();
                self.note_trouble(&inside);
                self.fleet.island.clear();
            }
            Fault::Loss(percent) => self.fleet.loss_percent = percent,
            Fault::Change(address, revision) => {
                let target = Some(Target::default());
                let revision = Revision(revision);
                self.fleet.learn(address, Entry { name: "intake".into(), revision, target });
            }
        }
    }

    fn note_trouble(&mut self, addresses: &[SocketAddr]) {
        for address in addresses {
            self.trouble.insert(*address, self.fleet.now.after(TROUBLE_MS));
        }
    }

    fn end_all_faults(&mut self) {
        self.inflict(Fault::Loss(0));
        self.inflict(Fault::Heal);
        for address in self.frozen.clone() {
            self.inflict(Fault::Thaw(address));
        }
        for address in self.dead.keys().copied().collect::<Vec<_>>() {
            self.inflict(Fault::Restart(address));
        }
    }

    /// Lets time pass in small steps and checks after each.
    fn pass(&mut self, millis: u64) -> Result<(), Broken> {
        const STEP_MS: u64 = 250;
        let until = self.fleet.now.after(millis);
        while self.fleet.now < until {
            self.fleet.run_for(STEP_MS);
            self.check_deaths()?;
            self.check_revisions()?;
        }
        Ok(())
    }

    /// Nobody is given up who was not in trouble, unless by somebody who is cut off.
    fn check_deaths(&mut self) -> Result<(), Broken> {
        let now = self.fleet.now;
        let excused = |address: &SocketAddr| {
            let halted = self.fleet.halted.contains(address) || self.fleet.island.contains(address);
            halted || self.trouble.get(address).is_some_and(|until| now <= *until)
        };
        let news = &self.fleet.gone[self.seen..];
        let wrong = news
            .iter()
            .find(|(observer, gone)| !excused(gone) && !self.fleet.island.contains(observer));
        if let Some((observer, gone)) = wrong {
            return Err(self.broken(format!("{observer} gave up {gone}, which was well")));
        }
        self.seen = self.fleet.gone.len();
        Ok(())
    }

    /// No configuration ever reverts.
    fn check_revisions(&mut self) -> Result<(), Broken> {
        for (address, peer) in &self.fleet.peers {
            let revision = peer.configuration().revision();
            let before = self.revisions.insert(*address, revision).unwrap_or_default();
            if revision < before {
                return Err(
                    self.broken(format!("{address} went back from {before:?} to {revision:?}"))
                );
            }
        }
        Ok(())
    }

    /// Everybody knows everybody, and the newest change that anybody holds is in force everywhere.
    fn check_agreement(&self) -> Result<(), Broken> {
        if !self.fleet.knows_all() {
            return Err(self.broken("not everybody knows everybody".to_owned()));
        }
        let revisions = self.fleet.peers.values().map(|peer| peer.configuration().revision());
        let newest = revisions.clone().max().unwrap_or_default();
        let behind = revisions.filter(|revision| *revision < newest).count();
        if behind > 0 {
            return Err(self.broken(format!("{behind} processes are behind {newest:?}")));
        }
        Ok(())
    }

    fn broken(&self, promise: String) -> Broken {
        Broken { promise, record: self.record.clone() }
    }
}
