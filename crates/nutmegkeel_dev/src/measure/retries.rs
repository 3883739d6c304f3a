//! Duplicate runs of keyed requests that several agents retry over a platform that loses answers.

use std::collections::BTreeMap;

use nutmegkeel_core::admission::Id;
use nutmegkeel_core::claim::{Claim, Ledger, Name, Settled};
use nutmegkeel_core::clock::Time;
use nutmegkeel_core::member::Instance;
use nutmegkeel_core::placement::Hop;
use nutmegkeel_fake::fleet::address;
use nutmegkeel_fake::store::{CallOutcome, Memory};
use nutmegkeel_store::claims::Writer;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{Map, json};

const AGENTS: usize = 7;
const KEYS: u64 = 2_000;
/// Number of times that each key is sent, on different flows and to different agents.
const SENDS: u64 = 4;
const DEADLINE: Time = Time::from_millis(10_000);
const SEED: u64 = 1;

#[derive(Default)]
struct Counts {
    runs: BTreeMap<u64, u64>,
    not_run: u64,
    may_have_run: u64,
}

/// Runs the measurement; returns true when no key ran twice with claims.
pub(super) fn run() -> bool {
    println!(
        "{:<22} {:>6} {:>10} {:>9} {:>9} {:>14} {:>9}",
        "way", "sends", "run twice", "not run", "maybe", "platform writes", "per key"
    );
    let mut line = Map::new();
    let mut met = true;
    for (name, claims, faults) in [
        ("no claims", false, true),
        ("claims, no faults", true, false),
        ("claims, faults", true, true),
    ] {
        let store = Memory::default();
        let counts = send_all(&store, claims, faults);
        let twice = counts.runs.values().filter(|runs| **runs > 1).count();
        let per_key = store.writes() as f64 / KEYS as f64;
        println!(
            "{name:<22} {:>6} {twice:>10} {:>9} {:>9} {:>14} {per_key:>9.3}",
            KEYS * SENDS,
            counts.not_run,
            counts.may_have_run,
            store.writes()
        );
        met &= !claims || twice == 0;
        line.insert(
            name.replace([' ', ','], "_"),
            json!({"run_twice": twice, "not_run": counts.not_run,
                "may_have_run": counts.may_have_run, "writes_per_key": per_key}),
        );
    }
    super::print_line(line);
    met
}

/// Sends every key several times in an order based on the seed, in groups of up to 20.
fn send_all(store: &Memory, claims: bool, faults: bool) -> Counts {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut counts = Counts::default();
    let mut sends: Vec<u64> = (0..KEYS).flat_map(|key| vec![key; SENDS as usize]).collect();
    rand::seq::SliceRandom::shuffle(&mut sends[..], &mut rng);
    let mut writers: Vec<Writer> = (0..AGENTS).map(|_| Writer::open()).collect();
    let mut next = 0;
    while next < sends.len() {
        let size = rng.random_range(1..=20).min(sends.len() - next);
        let group = &sends[next..next + size];
        if claims {
            if faults {
                store.set_outcomes(vec![
                    random_outcome(&mut rng),
                    random_outcome(&mut rng),
                    random_outcome(&mut rng),
                ]);
            }
            let agent = rng.random_range(0..AGENTS);
            send_group(store, &mut writers[agent], agent, next, group, &mut counts);
        } else {
            for key in group {
                *counts.runs.entry(*key).or_default() += 1;
            }
        }
        next += size;
    }
    counts
}

fn random_outcome(rng: &mut SmallRng) -> CallOutcome {
    match rng.random_range(0..10) {
        0 => CallOutcome::NotSent,
        1 => CallOutcome::AnswerLost,
        2 => CallOutcome::CallLost,
        _ => CallOutcome::Answered,
    }
}

fn send_group(
    store: &Memory,
    writer: &mut Writer,
    agent: usize,
    first: usize,
    keys: &[u64],
    counts: &mut Counts,
) {
    let number = u16::try_from(agent).unwrap_or_default();
    let owner = Hop { address: address(number), instance: Instance::new(1) };
    let mut ledger = Ledger::default();
    for (offset, key) in keys.iter().enumerate() {
        let name = Name::of(&"intake".into(), &key.to_be_bytes());
        let id = Id((first + offset) as u64);
        ledger.request(Claim { name, owner, id }, DEADLINE);
    }
    let Some(group) = ledger.next_batch() else {
        return;
    };
    let outcomes = writer.write(store, Time::ZERO, &group);
    for settled in ledger.written(Time::ZERO, &outcomes) {
        match settled {
            Settled::Run(id) => {
                let offset = usize::try_from(id.0).unwrap_or_default() - first;
                *counts.runs.entry(keys[offset]).or_default() += 1;
            }
            Settled::NotRun(_) => counts.not_run += 1,
            Settled::MayHaveRun(_) => counts.may_have_run += 1,
        }
    }
}
