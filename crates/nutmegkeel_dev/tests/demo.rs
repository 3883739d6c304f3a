//! The whole system as separate processes, under a graceful stop, a kill, a start and a drain.

use std::path::Path;
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

use nutmegkeel_standin::guard;
use serde_json::Value;

/// Duration of the callers' load, in seconds.
const SECONDS: &str = "8";

/// Runs the program, which is killed if this test is.
fn run(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_nutmegkeel_dev"));
    guard::output(command.args(arguments)).expect("the program starts")
}

/// Guards against a feed that hangs or is cut, a download that stalls, and a filing that is lost or
/// runs twice. While callers open flows and file, one balancer stops, one is killed, one starts,
/// and the backend server that holds the feed drains.
#[test]
fn callers_stay_connected_through_every_planned_change_and_a_kill() {
    let ran = run(&["demo", "--seconds", SECONDS]);

    let output = String::from_utf8_lossy(&ran.stdout);
    let errors = String::from_utf8_lossy(&ran.stderr);
    let last = output.lines().last().unwrap_or_default();
    let report: Value = serde_json::from_str(last).unwrap_or_default();
    assert!(ran.status.success(), "{output}\n{errors}");
    for class in ["intake", "feeds"] {
        let seen = &report[class];
        assert_eq!(seen["broken"], 0, "{output}");
        assert_eq!(seen["wrong_desk"], 0, "{output}");
        assert_eq!(seen["run_twice"], 0, "{output}");
        assert_eq!(seen["filed_not_recorded"], 0, "{output}");
        assert_eq!(seen["calls"], seen["answered"], "{output}");
    }
}

/// Guards against dropped packets: every third one was lost until a retransmission, because callers
/// were allowed to clear the bit by which balancers distinguish packets from frames (RFC 9287).
#[test]
fn no_caller_packet_is_misclassified() {
    let ran = run(&["measure", "path", "--flows", "20"]);

    let output = String::from_utf8_lossy(&ran.stdout);
    let report: Value =
        serde_json::from_str(output.lines().last().unwrap_or_default()).unwrap_or_default();
    assert!(ran.status.success(), "{output}");
    assert_eq!(report["packets_not_understood"], 0, "{output}");
}

/// Guards against a handshake that its agent closes while the caller still waits: replies are lost
/// for some seconds, and the next one is sent after the agent has given up.
#[test]
fn a_flow_opens_after_some_seconds_without_replies() {
    let ran = run(&["measure", "opening", "--mute-ms", "4500"]);

    let output = String::from_utf8_lossy(&ran.stdout);
    assert!(ran.status.success(), "{output}");
}

/// Guards against open flows that end because their agent does not run for some seconds: balancers
/// declare it dead, and would reset each flow that sends a packet.
#[test]
fn flows_survive_a_suspension_of_their_agent() {
    let ran = run(&["measure", "suspension"]);

    let output = String::from_utf8_lossy(&ran.stdout);
    assert!(ran.status.success(), "{output}");
}

/// Returns the ids of the processes that a process has started.
fn children(parent: u32) -> Vec<u32> {
    let processes = std::fs::read_dir("/proc").expect("processes are listed").flatten();
    let ids = processes.filter_map(|entry| entry.file_name().to_str()?.parse::<u32>().ok());
    ids.filter(|id| parent_of(*id) == Some(parent)).collect()
}

fn parent_of(id: u32) -> Option<u32> {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    status.lines().find_map(|line| line.strip_prefix("PPid:"))?.trim().parse().ok()
}

/// Repeats a check until it holds; returns false if it does not within the time.
fn holds_within(within: Duration, check: impl Fn() -> bool) -> bool {
    let until = Instant::now() + within;
    while Instant::now() < until {
        if check() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}

/// Guards against processes under test that run on, and keep their ports, after the program that
/// started them was killed.
#[test]
fn a_killed_demo_leaves_no_processes() {
    let mut demo = Command::new(env!("CARGO_BIN_EXE_nutmegkeel_dev"))
        .args(["demo", "--seconds", "60"])
        .stdout(Stdio::null())
        .spawn()
        .expect("the demo starts");
    let all_started = holds_within(Duration::from_secs(60), || children(demo.id()).len() > 12);
    let started = children(demo.id());

    demo.kill().expect("the demo runs");
    demo.wait().expect("the demo has ended");
    let is_gone = |id: &u32| !Path::new(&format!("/proc/{id}")).exists();
    let all_gone = holds_within(Duration::from_secs(5), || started.iter().all(is_gone));

    assert!(all_started, "{started:?}");
    assert!(all_gone, "{started:?}");
}
