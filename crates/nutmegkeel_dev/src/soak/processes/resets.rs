//! Resets of open flows: which process sent one, by the logs, and whether it may have done so.

use std::net::Ipv4Addr;
use std::path::Path;
use std::time::Instant;

use serde_json::Value;

/// Reset that a client received on an open flow.
#[derive(Clone, Debug)]
pub(super) struct Reset {
    /// When it was received.
    pub at: Instant,
    /// The flow, as logs name it.
    pub flow: String,
    /// Destination port of the flow.
    pub port: u16,
    /// Server that holds the flow.
    pub holder: String,
    /// Balancers that the packets of its last request were sent to.
    pub through: Vec<Ipv4Addr>,
}

/// Process that sent a reset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Sender {
    pub host: Ipv4Addr,
    pub cause: String,
}

/// Returns the processes that reset a flow, by the logs in a directory. A process that resets many
/// flows at once leaves out lines, so a sender may be missing.
pub(super) fn senders(folder: &Path, flow: &str) -> Vec<Sender> {
    let Ok(files) = std::fs::read_dir(folder) else {
        return Vec::new();
    };
    let paths = files.flatten().map(|file| file.path());
    let logs = paths.filter(|path| path.extension().is_some_and(|kind| kind == "log"));
    let mut senders: Vec<Sender> = logs.flat_map(|log| senders_in(&log, flow)).collect();
    senders.dedup();
    senders
}

fn senders_in(log: &Path, flow: &str) -> Vec<Sender> {
    let name = log.file_stem().and_then(|name| name.to_str()).unwrap_or_default();
    let Ok(host) = name.parse() else {
        return Vec::new();
    };
    let bytes = std::fs::read(log).unwrap_or_default();
    let text = String::from_utf8_lossy(&bytes);
    let resets = text.lines().filter_map(|line| cause_of_reset(line, flow));
    resets.map(|cause| Sender { host, cause }).collect()
}

fn cause_of_reset(line: &str, flow: &str) -> Option<String> {
    if !line.contains(flow) {
        return None;
    }
    let line: Value = serde_json::from_str(line).ok()?;
    let attributes = &line["attributes"];
    let is_meant = attributes["event"] == "reset" && attributes["flow"] == flow;
    is_meant.then(|| attributes["cause"].as_str().unwrap_or_default().to_owned())
}
