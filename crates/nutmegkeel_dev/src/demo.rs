//! Demo of the whole system on loopback under stops, kills and a drain, checked by the stand-ins.

pub(crate) mod calls;
pub(crate) mod deployment;
mod report;
pub mod settling;

use std::time::{Duration, Instant};

use calls::Calls;
use deployment::Deployment;

use crate::standin::fabric::Trouble;

/// Options of the demo.
#[derive(Clone, Debug)]
pub struct Options {
    /// Duration of the callers' load, in seconds.
    pub seconds: u64,
    /// Whether to keep everything running afterwards.
    pub keep: bool,
    /// Share of the callers' packets that the fabric loses in each direction, in percent.
    pub loss_percent: u32,
}

/// Runs the demo; returns true when no flow broke, no request reached a wrong class and none ran
/// twice.
///
/// # Errors
/// When a process cannot be started or does not come up.
pub fn run(options: &Options) -> std::io::Result<bool> {
    let mut deployment =
        Deployment::open(Trouble { loss_percent: options.loss_percent, ..Trouble::default() })?;
    println!("started {} processes; waiting for both classes", deployment.processes());
    let runtime = tokio::runtime::Runtime::new()?;
    let certificate = deployment.certificate();
    runtime.block_on(calls::wait_until_served(certificate.clone(), &deployment.classes()))?;
    println!("both classes are served; starting callers");

    let length = Duration::from_secs(options.seconds);
    let calls = Calls::begin(&runtime, certificate, deployment.classes(), length);
    let began = Instant::now();
    let step = length / 8;
    pause(began, step);
    println!("{:>6.1}s stopping balancer 1 gracefully", began.elapsed().as_secs_f64());
    deployment.stop_balancer(0)?;
    pause(began, step * 2);
    println!("{:>6.1}s killing balancer 2", began.elapsed().as_secs_f64());
    deployment.kill_balancer(1);
    pause(began, step * 3);
    println!("{:>6.1}s starting balancer 4", began.elapsed().as_secs_f64());
    deployment.start_balancer(3)?;
    pause(began, step * 4);
    let drained = deployment.drain_server_with_open_feed()?;
    println!("{:>6.1}s draining {drained}, which holds the feed", began.elapsed().as_secs_f64());

    pause(began, step * 5);
    println!(
        "{:>6.1}s an operator changes intake; the platform goes down",
        began.elapsed().as_secs_f64()
    );
    let settled = deployment.change_class_then_lose_platform()?;
    println!(
        "{:>6.1}s in force on all balancers after {} ms",
        began.elapsed().as_secs_f64(),
        settled.as_millis()
    );
    pause(began, step * 6);
    println!("{:>6.1}s the platform is back", began.elapsed().as_secs_f64());
    deployment.set_platform("up")?;

    let results = calls.end(&runtime);
    println!("{:>6.1}s callers have finished", began.elapsed().as_secs_f64());
    let drained_exited = deployment.agent_exited(&drained);
    println!("the drained agent exited cleanly: {drained_exited}");
    let stopped_exited = deployment.balancer_exited(0);
    println!("the stopped balancer exited cleanly: {stopped_exited}");
    let records = deployment.records();
    let counters = deployment.counters();
    let passed =
        report::print(&results, &records, &counters, settled) && drained_exited && stopped_exited;
    if options.keep {
        println!("{}\npress Enter to stop everything", deployment.status_commands());
        std::io::stdin().read_line(&mut String::new())?;
    }
    Ok(passed)
}

fn pause(began: Instant, until: Duration) {
    std::thread::sleep(until.saturating_sub(began.elapsed()));
}
