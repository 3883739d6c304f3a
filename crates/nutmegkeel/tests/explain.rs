//! `nutmegkeel explain`: the history of a flow and the refusals by cause, from log lines.

use std::io::Write;
use std::process::{Command, Output, Stdio};

/// Log lines out of order, with a line of another program and a truncated line.
const LINES: &str = concat!(
    r#"{"time":"2026-01-01T00:00:02Z","message":"reset sent","mdc":{"host":"b1"},"#,
    r#""attributes":{"event":"reset","flow":"1.1.1.1:5>2.2.2.2:443","cause":"agent_dead"}}"#,
    "\n",
    "something else\n",
    r#"{"time":"2026-01-01T00:00:01Z","message":"opening sent","mdc":{"host":"b1"},"#,
    r#""attributes":{"event":"placed","flow":"1.1.1.1:5>2.2.2.2:443","agent":"3.3.3.3"}}"#,
    "\n",
    r#"{"time":"2026-01-01T00:00:03Z","message":"reset sent","mdc":{"host":"b1"},"#,
    r#""attributes":{"event":"reset","flow":"1.1.1.1:6>2.2.2.2:443","cause":"agent_dead"}}"#,
    "\n",
    r#"{"time":"2026-01-01T00:00:04Z","mess"#,
);

fn explain(arguments: &[&str]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_nutmegkeel"))
        .arg("explain")
        .args(arguments)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the binary starts");
    let mut input = child.stdin.take().expect("the input is piped");
    input.write_all(LINES.as_bytes()).expect("the lines can be written");
    drop(input);
    child.wait_with_output().expect("the binary exits")
}

#[test]
fn lines_of_a_flow_are_printed_in_order_of_time() {
    let output = explain(&["--flow", "1.1.1.1:5>"]);

    let history = String::from_utf8_lossy(&output.stdout).into_owned();
    let lines: Vec<&str> = history.lines().collect();
    assert_eq!(lines.len(), 2, "{history}");
    assert!(lines[0].contains("b1: opening sent (agent=3.3.3.3"), "{history}");
    assert!(lines[1].contains("cause=agent_dead"), "{history}");
}

#[test]
fn refusals_are_counted_by_cause() {
    let output = explain(&[]);

    let counts = String::from_utf8_lossy(&output.stdout).into_owned();
    assert_eq!(counts.trim(), "2 reset agent_dead b1");
}

#[test]
fn a_flow_without_lines_is_reported() {
    let output = explain(&["--flow", "9.9.9.9"]);

    let printed = String::from_utf8_lossy(&output.stdout).into_owned();
    assert_eq!(printed.trim(), "no line speaks of 9.9.9.9");
}
