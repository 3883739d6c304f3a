//! Result table and final JSON line of the demo.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::json;

use super::calls::{Results, Totals};
use crate::standin::backend::Records;

/// What the backend servers of one class recorded.
struct ClassRecords {
    wrong_desk: u64,
    run_twice: usize,
    not_recorded: usize,
    imbalance: f64,
    most_busy: u32,
}

/// Prints the results of callers and backend servers.
///
/// Returns true when every class was served, no flow broke, no request reached a wrong class or ran
/// twice, and every answered filing was recorded.
pub(super) fn print(
    results: &Results,
    records: &[Records],
    counters: &BTreeMap<String, f64>,
    settled: Duration,
) -> bool {
    println!(
        "\n{:<8} {:>6} {:>8} {:>7} {:>6} {:>9} {:>6} {:>5} {:>5} {:>9} {:>8} {:>8} {:>8} {:>8}",
        "class",
        "calls",
        "answered",
        "refused",
        "maybe",
        "unopened",
        "broken",
        "wrong",
        "twice",
        "imbalance",
        "p50 ms",
        "p99 ms",
        "max ms",
        "silence"
    );
    let mut line = serde_json::Map::new();
    let mut passed = true;
    for (class, totals) in results {
        let recorded = class_records(class, totals, records);
        let millis = |quantile| totals.times.value_at_quantile(quantile) as f64 / 1_000.0;
        let (p50, p99, max) = (millis(0.5), millis(0.99), millis(1.0));
        let silence_ms = totals.longest_silence.as_millis();
        println!(
            "{:<8} {:>6} {:>8} {:>7} {:>6} {:>9} {:>6} {:>5} {:>5} {:>9.3} {:>8.2} {:>8.2} {:>8.2} {:>8}",
            class,
            totals.calls,
            totals.answered,
            totals.refused,
            totals.may_have_run,
            totals.not_opened,
            totals.broken,
            recorded.wrong_desk,
            recorded.run_twice,
            recorded.imbalance,
            p50,
            p99,
            max,
            silence_ms
        );
        for fault in totals.faults.iter().take(5) {
            println!("         {fault}");
        }
        line.insert(
            (*class).to_owned(),
            json!({
                "calls": totals.calls, "answered": totals.answered, "refused": totals.refused,
                "may_have_run": totals.may_have_run, "not_opened": totals.not_opened,
                "broken": totals.broken, "wrong_desk": recorded.wrong_desk,
                "run_twice": recorded.run_twice, "filed_not_recorded": recorded.not_recorded,
                "imbalance": recorded.imbalance, "most_busy": recorded.most_busy,
                "p50_ms": p50, "p99_ms": p99, "max_ms": max, "longest_silence_ms": silence_ms,
            }),
        );
        passed &= totals.broken == 0 && recorded.wrong_desk == 0 && recorded.run_twice == 0;
        passed &= recorded.not_recorded == 0 && totals.answered > 0;
    }
    let dropped: BTreeMap<&String, &f64> =
        counters.iter().filter(|(name, _)| name.starts_with("nutmegkeel_dropped")).collect();
    line.insert("dropped".to_owned(), json!(dropped));
    line.insert("change_in_force_ms".to_owned(), json!(settled.as_millis()));
    line.insert("passed".to_owned(), passed.into());
    println!("{}", serde_json::Value::Object(line));
    passed
}

fn class_records(class: &str, totals: &Totals, records: &[Records]) -> ClassRecords {
    let own: Vec<&Records> = records.iter().filter(|records| records.class == class).collect();
    let mut runs: BTreeMap<&str, u64> = BTreeMap::new();
    for (key, times) in own.iter().flat_map(|records| &records.runs) {
        *runs.entry(key).or_default() += times;
    }
    let mean = own.iter().map(|records| records.requests).sum::<u64>() as f64 / own.len() as f64;
    let most = own.iter().map(|records| records.requests).max().unwrap_or_default() as f64;
    ClassRecords {
        wrong_desk: own.iter().map(|records| records.wrong_desk).sum(),
        run_twice: runs.values().filter(|times| **times > 1).count(),
        not_recorded: totals.filed.iter().filter(|key| !runs.contains_key(key.as_str())).count(),
        imbalance: if mean > 0.0 { most / mean } else { 0.0 },
        most_busy: own.iter().map(|records| records.most_busy).max().unwrap_or_default(),
    }
}
