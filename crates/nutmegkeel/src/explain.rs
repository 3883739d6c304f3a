//! Reads the log lines of several processes and prints the history of one flow in order of time, or
//! counts the refusals of all flows by cause.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::path::PathBuf;

use serde::Deserialize;

/// Flow to explain, or all flows, and the files to read.
#[derive(Clone, Debug)]
pub(crate) struct Query {
    pub(crate) flow: Option<String>,
    pub(crate) files: Vec<PathBuf>,
}

/// Fields of a log line that are used here.
#[derive(Debug, Deserialize)]
struct Line {
    time: String,
    #[serde(default)]
    message: String,
    #[serde(default)]
    mdc: BTreeMap<String, String>,
    #[serde(default)]
    attributes: BTreeMap<String, String>,
}

/// Refusal of flows: the event, its cause and the host that decided.
type Refusal = (String, String, String);

/// Events that are counted as refusals.
const REFUSALS: [&str; 3] = ["reset", "kept", "declined"];

/// Prints the history of a flow, or the number of refusals by cause.
///
/// # Errors
/// Returns an error if a file cannot be read or the output is closed.
pub(crate) fn run(query: &Query) -> io::Result<()> {
    let lines = read(&query.files)?;
    let output = &mut io::stdout().lock();
    match &query.flow {
        Some(flow) => print_flow(output, lines, flow),
        None => print_refusals(output, &lines),
    }
}

fn read(files: &[PathBuf]) -> io::Result<Vec<Line>> {
    if files.is_empty() {
        return Ok(parse(io::stdin().lock()));
    }
    let mut lines = Vec::new();
    for file in files {
        let input = File::open(file).map_err(|error| {
            io::Error::new(error.kind(), format!("{}: {error}", file.display()))
        })?;
        lines.extend(parse(BufReader::new(input)));
    }
    Ok(lines)
}

/// Parses log lines. Truncated and foreign lines are skipped: a killed process may have written
/// part of a line, and other programs may write to the same output.
fn parse(mut reader: impl BufRead) -> Vec<Line> {
    let mut lines = Vec::new();
    let mut bytes = Vec::new();
    while reader.read_until(b'\n', &mut bytes).is_ok_and(|length| length > 0) {
        let start = bytes.iter().position(|byte| *byte == b'{').unwrap_or(0);
        if let Ok(line) = serde_json::from_slice(&bytes[start..]) {
            lines.push(line);
        }
        bytes.clear();
    }
    lines
}

fn print_flow(output: &mut impl Write, lines: Vec<Line>, flow: &str) -> io::Result<()> {
    let is_of_flow = |line: &Line| line.attributes.get("flow").is_some_and(|id| id.contains(flow));
    let mut history: Vec<Line> = lines.into_iter().filter(is_of_flow).collect();
    history.sort_by(|one, two| one.time.cmp(&two.time));
    if history.is_empty() {
        return writeln!(output, "no line speaks of {flow}");
    }
    for line in history {
        let host = line.mdc.get("host").map_or("?", String::as_str);
        let inputs: Vec<String> = line
            .attributes
            .iter()
            .filter(|(name, _)| *name != "event")
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        writeln!(output, "{} {host}: {} ({})", line.time, line.message, inputs.join(", "))?;
    }
    Ok(())
}

fn print_refusals(output: &mut impl Write, lines: &[Line]) -> io::Result<()> {
    let mut refusals: BTreeMap<Refusal, u64> = BTreeMap::new();
    for line in lines {
        let attribute = |name: &str| line.attributes.get(name).cloned().unwrap_or_default();
        let event = attribute("event");
        if !REFUSALS.contains(&event.as_str()) {
            continue;
        }
        let cause = attribute(if event == "declined" { "reason" } else { "cause" });
        let host = line.mdc.get("host").cloned().unwrap_or_default();
        *refusals.entry((event, cause, host)).or_default() += 1;
    }
    let mut rows: Vec<(Refusal, u64)> = refusals.into_iter().collect();
    rows.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
    for ((event, cause, host), count) in rows {
        writeln!(output, "{count:>7} {event} {cause} {host}")?;
    }
    Ok(())
}
