//! Time until callers of a killed agent detect that their flows have ended.

use std::io;
use std::time::{Duration, Instant};

use serde_json::{Map, json};

use crate::caller::{Caller, Flow};
use crate::demo::calls;
use crate::demo::deployment::Deployment;
use crate::standin::fabric::Trouble;

/// Time for all processes to discover each other.
pub(super) const SETTLE: Duration = Duration::from_secs(4);
/// Number of flows opened, enough for each server of the class to hold some.
const FLOWS: usize = 30;
/// Aim for callers that send: the time for suspicion, a probe by the balancer, and a reset.
const ACTIVE_AIM: Duration = Duration::from_secs(5);
/// Aim for callers that only receive: the idle timeout that agents request.
const PASSIVE_AIM: Duration = Duration::from_secs(11);
/// Interval between two requests of a caller that sends.
const PAUSE: Duration = Duration::from_millis(100);

/// Runs the measurement; returns true when the aims were met.
///
/// # Errors
/// When the system does not come up.
pub(super) fn run() -> io::Result<bool> {
    let mut deployment = Deployment::open(Trouble::default())?;
    let runtime = tokio::runtime::Runtime::new()?;
    let classes = deployment.classes();
    let class = &classes[0];
    let caller = runtime.block_on(async {
        calls::wait_until_served(deployment.certificate(), &classes).await?;
        tokio::time::sleep(SETTLE).await;
        Caller::open(deployment.certificate())
    })?;
    let (active, passive) = runtime.block_on(async {
        let active = open_flows(&caller, class).await?;
        Ok::<_, io::Error>((active, open_flows(&caller, class).await?))
    })?;
    let killed = deployment.kill_agent(&format!("{}-1", class.name))?;
    let began = Instant::now();
    println!("killed the agent of {killed}");

    let entered = runtime.enter();
    let mut tasks = tokio::task::JoinSet::new();
    for mut flow in active {
        let check = calls::status_check(class, 1);
        tasks.spawn(async move {
            while began.elapsed() < 2 * PASSIVE_AIM {
                if flow.call(&check).await.is_err() {
                    return (true, Some(began.elapsed()));
                }
                tokio::time::sleep(PAUSE).await;
            }
            (true, None)
        });
    }
    for flow in passive {
        tasks.spawn(async move {
            let ended = tokio::time::timeout(2 * PASSIVE_AIM, flow.ended()).await;
            (false, ended.is_ok().then(|| began.elapsed()))
        });
    }
    drop(entered);
    let ends = runtime.block_on(tasks.join_all());
    let longest = |active: bool| {
        let of_kind = ends.iter().filter(|(kind, _)| *kind == active);
        let times: Vec<Duration> = of_kind.filter_map(|(_, time)| *time).collect();
        (times.len(), times.into_iter().max().unwrap_or_default())
    };
    let mut line = Map::new();
    let mut met = true;
    println!("{:<22} {:>6} {:>12} {:>8}", "callers who", "flows", "longest ms", "aim ms");
    for (name, active, aim) in [("send", true, ACTIVE_AIM), ("only listen", false, PASSIVE_AIM)] {
        let (flows, time) = longest(active);
        println!("{name:<22} {flows:>6} {:>12} {:>8}", time.as_millis(), aim.as_millis());
        met &= flows > 0 && time <= aim;
        line.insert(
            name.replace(' ', "_"),
            json!({"flows_ended": flows, "longest_ms": time.as_millis()}),
        );
    }
    super::print_line(line);
    Ok(met)
}

pub(super) async fn open_flows(caller: &Caller, class: &calls::Class) -> io::Result<Vec<Flow>> {
    let mut flows = Vec::new();
    for number in 0..FLOWS as u64 {
        let mut flow = caller.flow(class.address).await.map_err(io::Error::other)?;
        let check = calls::status_check(class, number);
        flow.call(&check).await.map_err(io::Error::other)?;
        flows.push(flow);
    }
    Ok(flows)
}
