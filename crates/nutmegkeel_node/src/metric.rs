//! Names of the metrics and the recorder behind `/metrics`. docs/METRICS.md explains each one.

mod recorder;

use nutmegkeel_wire::frame;

pub use recorder::Handle;

/// Callers' packets forwarded to an agent.
pub const PACKETS_IN: &str = "nutmegkeel_packets_in_total";
/// Agents' packets forwarded to a caller.
pub const PACKETS_OUT: &str = "nutmegkeel_packets_out_total";
/// New flows placed.
pub const PLACED: &str = "nutmegkeel_flows_placed_total";
/// New flows that no agent accepts.
pub const UNPLACED: &str = "nutmegkeel_flows_unplaced_total";
/// Datagrams dropped, by reason.
pub const DROPPED: &str = "nutmegkeel_dropped_total";
/// Stateless resets sent.
pub const RESETS: &str = "nutmegkeel_resets_total";
/// Openings that an agent passed on to the next choice.
pub const PASSED_ON: &str = "nutmegkeel_openings_passed_on_total";
/// Requests answered, by verdict.
pub const REQUESTS: &str = "nutmegkeel_requests_total";
/// Requests refused, by reason.
pub const REFUSED: &str = "nutmegkeel_requests_refused_total";
/// Time from a request's arrival to the head of its answer.
pub const ANSWER_SECONDS: &str = "nutmegkeel_answer_seconds";
/// Time a request waited for its slot.
pub const WAIT_SECONDS: &str = "nutmegkeel_wait_seconds";
/// Open flows.
pub const FLOWS: &str = "nutmegkeel_flows";
/// Bytes of control messages sent.
pub const CONTROL_BYTES: &str = "nutmegkeel_control_bytes_total";
/// Failed calls to the platform.
pub const PLATFORM_FAILURES: &str = "nutmegkeel_platform_failures_total";

/// Decisions on flows and changes of state, by kind and reason; counted whether logged or not.
pub const DECISIONS: &str = "nutmegkeel_decisions_total";
/// Requests that waited for a slot and were given up, by cause and urgency.
pub const GIVEN_UP: &str = "nutmegkeel_given_up_total";
/// How often the store has come back from an older copy of itself.
pub const STORE_ERA: &str = "nutmegkeel_store_era";
/// Milliseconds since the last answer of the store.
pub const STORE_ANSWER_AGE: &str = "nutmegkeel_store_answer_age_ms";
/// Calls to other processes for their configuration, by result.
pub const FETCHES: &str = "nutmegkeel_configuration_fetches_total";
/// Attempts to connect to a port of a silent process, by result.
pub const PORT_CHECKS: &str = "nutmegkeel_port_checks_total";
/// Version of the configuration in force at a balancer.
pub const CONFIGURATION: &str = "nutmegkeel_configuration_version";
/// Failure domains that are evacuated, as far as a balancer knows.
pub const EVACUATED: &str = "nutmegkeel_evacuated_domains";
/// Requests per slot of a service's servers in a failure domain, as far as a balancer knows.
pub const UTILIZATION: &str = "nutmegkeel_domain_utilization";
/// Part of a balancer's recent openings that went to other failure domains.
pub const SENT_REMOTE: &str = "nutmegkeel_openings_abroad";
/// Agents that a balancer knows.
pub const AGENTS: &str = "nutmegkeel_agents";
/// Backend servers of a service that a balancer considers far slower than their peers.
pub const SLOW_SERVERS: &str = "nutmegkeel_slow_servers";
/// Utilization of a service's busiest backend server in relation to the mean, as reported to a
/// balancer.
pub const BUSIEST_TO_MEAN: &str = "nutmegkeel_busiest_to_mean";
/// Requests in progress at an agent, openings included.
pub const BUSY: &str = "nutmegkeel_busy";
/// Openings that a balancer refused for lack of room, by cause and urgency.
pub const OPENINGS_REFUSED: &str = "nutmegkeel_openings_refused_total";
/// Slots of a service that a balancer considers free, by failure domain.
pub const ROOM_FREE: &str = "nutmegkeel_room_free_slots";
/// Expected time until a slot of a service becomes free, by failure domain, in milliseconds.
pub const ROOM_WAIT: &str = "nutmegkeel_room_wait_ms";
/// Log lines that were left out, by reason.
pub const LINES_LEFT_OUT: &str = "nutmegkeel_log_lines_left_out_total";
/// Calls to the store, by purpose, call and result.
pub const STORE_CALLS: &str = "nutmegkeel_store_calls_total";
/// Entries of the store that could not be read and were skipped.
pub const ENTRIES_SKIPPED: &str = "nutmegkeel_entries_skipped_total";
/// Heartbeats that were not understood.
pub const HEARTBEATS_REFUSED: &str = "nutmegkeel_heartbeats_refused_total";

/// Path at which a process serves its metrics.
pub const PATH: &str = "/metrics";

/// Bounds of the histograms' buckets, in seconds.
const BUCKETS: [f64; 14] =
    [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 60.0];

/// The process already has a recorder.
#[derive(Debug, thiserror::Error)]
#[error("a metrics recorder is installed already")]
pub struct Fault;

/// Installs the recorder of this process.
///
/// # Errors
/// When the process already has one.
pub fn install() -> Result<Handle, Fault> {
    Handle::install().map_err(|_| Fault)
}

/// Returns a service as a label: processes know only the hash of its name.
#[must_use]
pub fn service_label(service: u64) -> String {
    format!("{service:016x}")
}

/// Returns the reason why a frame was dropped, as a label of [`DROPPED`].
pub(crate) const fn frame_fault(fault: frame::Fault) -> &'static str {
    match fault {
        frame::Fault::Shape => "frame_shape",
        frame::Fault::Key(_) => "frame_key",
        frame::Fault::Mac => "frame_mac",
        frame::Fault::Stale(_) => "frame_stale",
        frame::Fault::Header => "frame_header",
    }
}
