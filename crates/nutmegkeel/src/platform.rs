//! Status of a balancer on the users' platform, for operators.

use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

use nutmegkeel_core::l4::status::{Room, Status};
use nutmegkeel_node::l4::balancer::STATUS;

/// Timeout of the query. A balancer answers within milliseconds; after 2 s it is better to query
/// another one.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Error of a status query.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Fault {
    /// The balancer was not reached or did not answer.
    #[error("balancer at {0}: {1}; another balancer may answer")]
    NoAnswer(SocketAddr, String),
    /// The answer cannot be decoded.
    #[error("balancer at {0}: answer not understood: {1}")]
    Body(SocketAddr, String),
}

/// Prints the status of a balancer.
///
/// # Errors
/// Returns a fault if the balancer does not answer, or the answer cannot be decoded.
pub(crate) fn status(at: SocketAddr, json: bool) -> Result<(), Fault> {
    let config = ureq::Agent::config_builder().timeout_global(Some(TIMEOUT)).build();
    let no_answer = |error: ureq::Error| Fault::NoAnswer(at, error.to_string());
    let url = format!("http://{at}{STATUS}");
    let mut answer = ureq::Agent::new_with_config(config).get(&url).call().map_err(no_answer)?;
    let text = answer.body_mut().read_to_string().map_err(no_answer)?;
    let status: Status =
        serde_json::from_str(&text).map_err(|error| Fault::Body(at, error.to_string()))?;
    if json {
        println!("{text}");
    } else {
        print!("{}", describe(&status));
    }
    Ok(())
}

fn describe(status: &Status) -> String {
    let choose = |condition, text, otherwise| if condition { text } else { otherwise };
    let mut text = String::new();
    let mut line = |name: &str, value: &str| {
        // Writing into a string cannot fail.
        let _ = writeln!(text, "{name:<14} {value}");
    };
    line("balancer", &format!("{} in {}", status.address, status.domain));
    line("rotation", choose(status.ready, "ready", "not ready"));
    line("configuration", &version(status.version));
    line("evacuated", &evacuated(status));
    line("store", choose(status.reaches_store, "answers", "does not answer"));
    line("delegate", choose(status.delegate, "yes", "no"));
    line("balancers", &format!("{} others", status.balancers));
    for (domain, agents) in &status.agents {
        line("agents", &format!("{agents} in {domain}"));
    }
    for room in &status.rooms {
        line("room", &describe_room(room));
    }
    for (agent, times) in &status.slow {
        let (service_ms, usual_ms) = (times.service_ms, times.usual_ms);
        line("slow", &format!("{agent}: {service_ms} ms a request, its peers {usual_ms} ms"));
    }
    text
}

/// Describes the room of a service in a failure domain. The service is shown as the first route
/// that names it.
fn describe_room(room: &Room) -> String {
    let service =
        room.route.as_deref().map_or_else(|| format!("{:016x}", room.service), str::to_owned);
    format!(
        "{} of {} slots free for {service} in {}, {} ms until one is; {} servers, {} not heard of lately",
        room.free, room.slots, room.domain, room.wait_ms, room.servers, room.doubtful
    )
}

fn version(version: u64) -> String {
    if version == 0 { "none yet".to_owned() } else { format!("version {version}") }
}

fn evacuated(status: &Status) -> String {
    let Some(orders) = &status.orders else {
        return "not known yet; no new flow is placed".to_owned();
    };
    if orders.domains.is_empty() {
        return format!("no failure domain (revision {})", orders.revision);
    }
    let domains: Vec<&str> = orders.domains.iter().map(AsRef::as_ref).collect();
    format!("{} (revision {})", domains.join(", "), orders.revision)
}
