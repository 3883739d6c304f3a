//! Random runs of the core for as long as one likes.

use std::time::{Duration, Instant};

use nutmegkeel_fake::soak;

/// Faults of one run.
const FAULTS: usize = 60;

/// Runs one seed after the other for `minutes`; true when no promise was broken.
pub fn run(first_seed: u64, minutes: u64) -> bool {
    let began = Instant::now();
    let mut seed = first_seed;
    while began.elapsed() < Duration::from_secs(60 * minutes) {
        if let Err(broken) = soak::run(seed, FAULTS) {
            println!("seed {seed}: {}", broken.promise);
            for (millis, fault) in broken.record {
                println!("{millis:>8} ms {fault:?}");
            }
            return false;
        }
        seed += 1;
    }
    println!("{} runs of {FAULTS} faults each, no promise broken", seed - first_seed);
    true
}
