//! Soak tests: random faults for the simulated core and for the real programs.

pub mod busy;
pub mod processes;

use std::time::{Duration, Instant};

use nutmegkeel_fake::soak;

/// Number of faults injected in one run.
const FAULTS_PER_RUN: usize = 60;

/// Runs consecutive seeds for `minutes`; returns true when no invariant was violated.
pub fn run(first_seed: u64, minutes: u64) -> bool {
    let began = Instant::now();
    let mut seed = first_seed;
    while began.elapsed() < Duration::from_secs(60 * minutes) {
        if let Err(violation) = soak::run(seed, FAULTS_PER_RUN) {
            println!("seed {seed}: {}", violation.invariant);
            for (millis, fault) in violation.faults {
                println!("{millis:>8} ms {fault:?}");
            }
            return false;
        }
        seed += 1;
    }
    println!("{} runs of {FAULTS_PER_RUN} faults each, no invariant violated", seed - first_seed);
    true
}

/// Number of concurrent runs of the real programs; each has ten processes.
const CONCURRENT_RUNS: u64 = 6;

/// Loopback networks that runs use in turn, since stand-ins keep their addresses until the end.
const NETWORKS: std::ops::Range<u64> = 1..250;

/// Seeds of the real programs to run, and the load under which they run.
#[derive(Clone, Debug)]
pub struct Series {
    /// First seed.
    pub seed: u64,
    /// Number of seeds.
    pub count: u64,
    /// Duration of the faults of each seed, in seconds.
    pub seconds: u64,
    /// Number of processes that keep processors busy meanwhile.
    pub busy: usize,
    /// Time for which clients hold back the first request on a flow of a burst, in milliseconds.
    pub hold_ms: u64,
    /// Whether processes are suspended beside other faults, and servers crash for good.
    pub outages: bool,
}

/// Runs a series; returns true when all seeds were completed and no invariant was violated.
///
/// # Errors
/// When the path of the running program is unknown, a busy process cannot be started, or a run
/// panics.
pub fn run_processes(series: &Series) -> std::io::Result<bool> {
    report_panic();
    let program = processes::program_path()?;
    let _busy = busy::spawn(series.busy)?;
    let Series { seed: first_seed, count, seconds, hold_ms, outages, .. } = *series;
    let mut passed = true;
    let mut seed = first_seed;
    while seed < first_seed + count {
        let until = (seed + CONCURRENT_RUNS).min(first_seed + count);
        let runs: Vec<_> = (seed..until)
            .map(|seed| {
                let net = network_of(seed);
                let options = processes::Options {
                    program: program.clone(),
                    seed,
                    seconds,
                    net,
                    load: true,
                    interruptions: true,
                    outages,
                    hold_ms,
                };
                std::thread::spawn(move || processes::run(&options))
            })
            .collect();
        for run in runs {
            let report = run.join().map_err(|_| std::io::Error::other("a soak run panicked"))?;
            passed &= print(&report);
        }
        seed = until;
    }
    Ok(passed)
}

/// Prints that no seed is judged when this program panics.
fn report_panic() {
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        report(info);
        println!("the soak test itself failed; its seeds are not judged");
    }));
}

fn network_of(seed: u64) -> u8 {
    let place = NETWORKS.start + seed % (NETWORKS.end - NETWORKS.start);
    u8::try_from(place).unwrap_or(u8::MAX)
}

fn print(report: &processes::Report) -> bool {
    println!(
        "seed {}: {} answered, {} unanswered, {} faults, {} invariant violations",
        report.seed,
        report.answered,
        report.unanswered,
        report.faults.len(),
        report.violations.len()
    );
    for violation in &report.violations {
        println!("  violated: {violation}");
    }
    if let Some(failure) = &report.harness_failure {
        println!("  not judged, the soak test itself failed: {failure}");
    }
    if report.has_passed() {
        return true;
    }
    for fault in &report.faults {
        println!("  {fault}");
    }
    println!("  logs: {}", report.folder.display());
    false
}
