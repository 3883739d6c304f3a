//! Flows whose agent is suspended: whether they go on when it resumes.

use std::io;
use std::time::{Duration, Instant};

use nutmegkeel_standin::process::Signal;
use serde_json::{Map, json};

use super::silence::{SETTLE, open_flows};
use crate::caller::Caller;
use crate::demo::calls;
use crate::demo::deployment::Deployment;
use crate::standin::fabric::Trouble;

/// Duration of the suspension. Balancers declare the agent dead meanwhile, and it is shorter than
/// the idle timeout of a flow.
const SUSPENSION: Duration = Duration::from_secs(6);
/// Interval between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(100);

/// Runs the measurement; returns true when no flow ended.
///
/// # Errors
/// When the system does not come up.
pub(super) fn run() -> io::Result<bool> {
    let mut deployment = Deployment::open(Trouble::default())?;
    let runtime = tokio::runtime::Runtime::new()?;
    let classes = deployment.classes();
    let class = &classes[0];
    let flows = runtime.block_on(async {
        calls::wait_until_served(deployment.certificate(), &classes).await?;
        tokio::time::sleep(SETTLE).await;
        let caller = Caller::open(deployment.certificate())?;
        open_flows(&caller, class).await
    })?;
    let count = flows.len();
    let agent = format!("{}-1", class.name);
    deployment.signal_agent(&agent, Signal::Stop)?;
    let began = Instant::now();

    let entered = runtime.enter();
    let mut tasks = tokio::task::JoinSet::new();
    for mut flow in flows {
        let check = calls::status_check(class, 1);
        tasks.spawn(async move {
            while began.elapsed() < 2 * SUSPENSION {
                if let Err(fault) = flow.call(&check).await {
                    return Some((began.elapsed(), fault.to_string()));
                }
                tokio::time::sleep(PAUSE).await;
            }
            None
        });
    }
    drop(entered);
    std::thread::sleep(SUSPENSION);
    deployment.signal_agent(&agent, Signal::Continue)?;
    let ends: Vec<_> = runtime.block_on(tasks.join_all()).into_iter().flatten().collect();

    for (after, fault) in &ends {
        println!("a flow ended after {} ms: {fault}", after.as_millis());
    }
    let mut line = Map::new();
    line.insert("flows".to_owned(), json!(count));
    line.insert("flows_ended".to_owned(), json!(ends.len()));
    super::print_line(line);
    Ok(ends.is_empty())
}
