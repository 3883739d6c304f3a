//! Time until an accepted change is in force on all of 200 balancers while the platform is down.

use nutmegkeel_core::class::Target;
use nutmegkeel_core::configuration::{Entry, Revision};
use nutmegkeel_fake::fleet::{Fleet, TICK_MS, address, balancer};
use serde_json::{Map, json};

const BALANCERS: u16 = 200;
const FORMATION_MS: u64 = 15_000;
const TIMEOUT_MS: u64 = 30_000;
/// Number of changes measured at each rate of message loss.
const CHANGES: u64 = 10;
/// Rates of message loss in percent, each with the aim for the slowest change in milliseconds.
const AIMS: [(u32, u64); 2] = [(0, 3_000), (10, 12_000)];
const SEED: u64 = 1;

/// Runs the measurement; returns true when the aims were met.
pub(super) fn run() -> bool {
    println!("{:>6} {:>12} {:>12} {:>8}", "loss", "median ms", "slowest ms", "aim ms");
    let mut line = Map::new();
    let mut met = true;
    for (loss, aim) in AIMS {
        let mut fleet = Fleet::open((0..BALANCERS).map(balancer).collect(), SEED);
        fleet.run_for(FORMATION_MS);
        fleet.loss_percent = loss;
        let mut times: Vec<u64> =
            (1..=CHANGES).map(|revision| time_of_change(&mut fleet, revision)).collect();
        times.sort_unstable();
        let (median, slowest) = (times[times.len() / 2], times[times.len() - 1]);
        println!("{loss:>5}% {median:>12} {slowest:>12} {aim:>8}");
        met &= slowest <= aim;
        line.insert(
            format!("loss_{loss}_percent"),
            json!({"median_ms": median, "slowest_ms": slowest, "aim_ms": aim}),
        );
    }
    super::print_line(line);
    met
}

fn time_of_change(fleet: &mut Fleet, revision: u64) -> u64 {
    let target = Some(Target::default());
    let entry = Entry { name: "intake".into(), revision: Revision(revision), target };
    let began = fleet.now;
    let at = u16::try_from(revision * 13).unwrap_or_default() % BALANCERS;
    fleet.learn(address(at), entry);
    let done = |fleet: &Fleet| {
        fleet.peers.values().all(|peer| peer.configuration().revision() >= Revision(revision))
    };
    while !done(fleet) && fleet.now.since(began) < TIMEOUT_MS {
        fleet.run_for(TICK_MS);
    }
    fleet.now.since(began)
}
