//! Time until all processes have detected a death, and control traffic, by the number of processes.

use std::time::Instant;

use nutmegkeel_fake::fleet::{Fleet, TICK_MS, address, agent, balancer};
use serde_json::{Map, json};

const SIZES: [u16; 4] = [50, 100, 200, 400];
/// Time for all members of a new fleet to discover each other, in milliseconds.
const FORMATION_MS: u64 = 15_000;
/// Length of the period without faults over which traffic is counted, in milliseconds.
const TRAFFIC_MS: u64 = 20_000;
/// Time limit for the detection of a death, in milliseconds; reported if detection takes longer.
const DETECTION_TIMEOUT_MS: u64 = 30_000;
/// Aim for control traffic at 200 processes, in bytes per second and process.
const AIM_BYTES: f64 = 3_000.0;
const SEED: u64 = 1;

/// Cost of a fleet of one size.
pub(super) struct Cost {
    pub(super) processes: u16,
    pub(super) bytes_per_second: f64,
    pub(super) cpu_percent: f64,
    pub(super) detection_ms: u64,
}

/// Runs the measurement; returns true when the aim was met.
pub(super) fn run() -> bool {
    println!("{:>9} {:>14} {:>10} {:>16}", "processes", "bytes/s each", "cpu %", "death known ms");
    let mut line = Map::new();
    let mut met = true;
    for size in SIZES {
        let cost = measure(size);
        println!(
            "{:>9} {:>14.0} {:>10.4} {:>16}",
            cost.processes, cost.bytes_per_second, cost.cpu_percent, cost.detection_ms
        );
        met &= size != 200 || cost.bytes_per_second < AIM_BYTES;
        line.insert(
            size.to_string(),
            json!({"bytes_per_second": cost.bytes_per_second.round(),
                "cpu_percent": cost.cpu_percent, "death_known_ms": cost.detection_ms}),
        );
    }
    super::print_line(line);
    met
}

/// Forms a fleet, counts its traffic without faults, and then kills one process.
pub(super) fn measure(size: u16) -> Cost {
    let balancers = size / 10;
    let agents = (balancers..size).map(|number| agent(number, "intake"));
    let mut fleet = Fleet::open((0..balancers).map(balancer).chain(agents).collect(), SEED);
    fleet.run_for(FORMATION_MS);
    fleet.bytes = 0;
    let began = Instant::now();
    fleet.run_for(TRAFFIC_MS);
    let process_seconds = f64::from(size) * TRAFFIC_MS as f64 / 1_000.0;
    let bytes_per_second = fleet.bytes as f64 / process_seconds;
    let cpu_percent = 100.0 * began.elapsed().as_secs_f64() / process_seconds;

    let killed = fleet.now;
    fleet.halted.insert(address(size - 1));
    while !fleet.has_converged() && fleet.now.since(killed) < DETECTION_TIMEOUT_MS {
        fleet.run_for(TICK_MS);
    }
    let detection_ms = fleet.now.since(killed);
    Cost { processes: size, bytes_per_second, cpu_percent, detection_ms }
}
