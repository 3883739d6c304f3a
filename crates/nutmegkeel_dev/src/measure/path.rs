//! Latency of calls through the system, and its control traffic.

use std::collections::BTreeMap;
use std::io;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::caller::Caller;
use crate::demo::calls;
use crate::demo::deployment::Deployment;
use crate::standin::fabric::Trouble;

/// Number of status checks on each flow.
const CHECKS: u64 = 3;
/// Time for the warm-up of new agents to end.
const SETTLE: Duration = Duration::from_secs(3);
/// Drop reasons that mean that a balancer did not recognize a caller's packet.
const NOT_UNDERSTOOD: [&str; 3] = ["not_quic", "frame_header", "frame_mac"];

/// Latencies of one kind of step.
#[derive(Default)]
struct Latencies(Vec<Duration>);

impl Latencies {
    fn millis(&mut self, percent: usize) -> f64 {
        self.0.sort_unstable();
        let last = self.0.len().saturating_sub(1);
        let at = (self.0.len() * percent / 100).min(last);
        self.0.get(at).map_or(0.0, |time| time.as_secs_f64() * 1_000.0)
    }
}

/// Opens `flows` flows one after another, with status checks and a filing on each.
///
/// # Errors
/// When the system does not come up or a call fails.
pub fn run(flows: u64) -> io::Result<bool> {
    let deployment = Deployment::open(Trouble::default())?;
    let runtime = tokio::runtime::Runtime::new()?;
    let (mut opens, mut checks, mut filings) =
        (Latencies::default(), Latencies::default(), Latencies::default());
    let began = Instant::now();
    let work = call(&deployment, flows, &mut opens, &mut checks, &mut filings);
    runtime.block_on(work)?;
    let counters = deployment.counters();
    let not_understood: f64 = NOT_UNDERSTOOD
        .iter()
        .filter_map(|reason| {
            counters.get(&format!("nutmegkeel_dropped_total{{reason=\"{reason}\"}}"))
        })
        .sum();
    let control =
        control_bytes_per_second(&counters, began.elapsed(), deployment.product_processes());

    println!("{:<14} {:>8} {:>8} {:>8}", "step", "p50 ms", "p99 ms", "max ms");
    let mut line = serde_json::Map::new();
    let steps = [("open", &mut opens), ("check", &mut checks), ("filing", &mut filings)];
    for (name, times) in steps {
        let (p50, p99, max) = (times.millis(50), times.millis(99), times.millis(100));
        println!("{name:<14} {p50:>8.3} {p99:>8.3} {max:>8.3}");
        line.insert(name.to_owned(), json!({"p50_ms": p50, "p99_ms": p99, "max_ms": max}));
    }
    println!("control traffic: {control:.0} bytes per second and process");
    line.insert("control_bytes_per_second".to_owned(), json!(control.round()));
    line.insert("packets_not_understood".to_owned(), json!(not_understood as u64));
    println!("{}", serde_json::Value::Object(line));
    Ok(not_understood == 0.0)
}

fn control_bytes_per_second(
    counters: &BTreeMap<String, f64>,
    passed: Duration,
    processes: usize,
) -> f64 {
    let sent = counters.get("nutmegkeel_control_bytes_total").copied().unwrap_or_default();
    sent / passed.as_secs_f64() / processes as f64
}

async fn call(
    deployment: &Deployment,
    flows: u64,
    opens: &mut Latencies,
    checks: &mut Latencies,
    filings: &mut Latencies,
) -> io::Result<()> {
    let classes = deployment.classes();
    calls::wait_until_served(deployment.certificate(), &classes).await?;
    tokio::time::sleep(SETTLE).await;
    let class = &classes[0];
    let caller = Caller::open(deployment.certificate())?;
    for number in 0..flows {
        let began = Instant::now();
        let mut flow = caller.flow(class.address).await.map_err(io::Error::other)?;
        opens.0.push(began.elapsed());
        for _ in 0..CHECKS {
            let began = Instant::now();
            let check = calls::status_check(class, number);
            flow.call(&check).await.map_err(io::Error::other)?;
            checks.0.push(began.elapsed());
        }
        let began = Instant::now();
        flow.call(&calls::filing(class, number)).await.map_err(io::Error::other)?;
        filings.0.push(began.elapsed());
        flow.close();
    }
    Ok(())
}
