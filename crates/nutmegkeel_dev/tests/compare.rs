//! Comparisons of versions: statistics, tables, and a complete comparison with a stand-in bench.

use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};

use nutmegkeel_dev::compare::play::{Day, Outcome, read};
use nutmegkeel_dev::compare::statistic::Summary;
use nutmegkeel_dev::compare::table::{Cell, Table};
use nutmegkeel_dev::compare::{Fault, Options, Way, check, run};

fn folder(name: &str) -> PathBuf {
    let folder =
        std::env::temp_dir().join(format!("nutmegkeel-compare-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder can be made");
    folder
}

fn way(name: &str, folder: &Path) -> Way {
    Way { name: name.to_owned(), folder: folder.to_owned() }
}

fn report(worth: f64, breaks: &str) -> Outcome {
    read(&format!(
        r#"{{"G":{worth},"all":{{"late":3,"failed":2,"n":9}},"breaks":{breaks},"fault":null,"new":1}}"#
    ))
}

fn cell(seed: u64, way: &str, outcome: Outcome) -> Cell {
    let day = Day { site: "sites/small.toml".into(), name: "trouble-1".to_owned(), seed };
    Cell { day, way: way.to_owned(), outcome }
}

#[test]
fn summary_has_confidence_interval() {
    let summary = Summary::of(&[1.0, 2.0, 3.0, 4.0]).expect("there are figures");

    assert!((summary.mean - 2.5).abs() < 1e-9);
    // Three degrees of freedom: 3.182 times the standard error of 0.6455.
    assert!((summary.margin.expect("more than one") - 2.054).abs() < 1e-3, "{summary:?}");
    assert_eq!((summary.min, summary.max), (1.0, 4.0));
}

#[test]
fn single_figure_has_no_interval_and_empty_sample_no_summary() {
    assert_eq!(Summary::of(&[0.9]).expect("a figure").margin, None);
    assert_eq!(Summary::of(&[]), None);
}

#[test]
fn differences_are_taken_pair_by_pair() {
    let folder = folder("pairs");
    let ways = [way("standing", &folder), way("other", &folder)];
    let cells = vec![
        cell(1, "standing", report(0.90, "{}")),
        cell(1, "other", report(0.91, "{}")),
        cell(2, "standing", report(0.70, "{}")),
        cell(2, "other", report(0.71, "{}")),
        // A play without its pair must not change the difference.
        cell(3, "standing", report(0.10, "{}")),
        cell(3, "other", Outcome::Failed("no report".to_owned())),
    ];

    let table = Table::of(&ways, cells);

    let text = table.to_string();
    assert!(text.contains("| small | trouble-1 | 2 | 0.8000 | other | 0.8100 |"), "{text}");
    assert!(text.contains("+0.0100 | ±0.0000"), "{text}");
    assert!(text.contains("not played: small trouble-1 seed 3 other: no report"), "{text}");
    assert!(!table.is_clean());
}

#[test]
fn broken_rule_is_reported() {
    let folder = folder("broken");
    let ways = [way("standing", &folder), way("other", &folder)];
    let cells = vec![
        cell(1, "standing", report(0.9, "{}")),
        cell(1, "other", report(0.99, r#"{"SOME":4}"#)),
    ];

    let table = Table::of(&ways, cells);

    assert!(!table.is_clean());
    assert!(table.to_string().contains("broken: small trouble-1 seed 1 other"), "{table}");
}

#[test]
fn report_without_a_field_is_a_failed_play() {
    assert!(matches!(read(r#"{"G":0.9}"#), Outcome::Failed(_)));
}

/// Returns options for one deployment and day. The bench is a program that runs in each checkout;
/// here a script that copies the report there.
fn options(folder: &Path, ways: Vec<Way>) -> Options {
    let bench = folder.join("bench");
    let script = "#!/bin/sh\nwhile [ $# -gt 0 ]; do\n  [ \"$1\" = --report ] && cp report.json \"$2\"\n  shift\ndone\n";
    std::fs::write(&bench, script).expect("the file can be written");
    std::fs::set_permissions(&bench, std::fs::Permissions::from_mode(0o755))
        .expect("the test owns it");
    let site = folder.join("small.toml");
    std::fs::write(&site, "").expect("the file can be written");
    let (days, why) = (vec!["trouble-1".to_owned()], "test".to_owned());
    Options { bench, sites: vec![site], days, seeds: 2, ways, jobs: 2, why, vary: false }
}

/// Returns a checkout with this report.
fn checkout(folder: &Path, name: &str, worth: &str, breaks: &str) -> Way {
    let checkout = folder.join(name);
    std::fs::create_dir_all(&checkout).expect("a folder can be made");
    let text =
        format!(r#"{{"G":{worth},"all":{{"late":0,"failed":0}},"breaks":{breaks},"fault":null}}"#);
    std::fs::write(checkout.join("report.json"), text).expect("the file can be written");
    way(name, &checkout)
}

#[test]
fn complete_comparison_plays_both_checkouts() {
    let folder = folder("whole");
    let ways =
        vec![checkout(&folder, "standing", "0.9", "{}"), checkout(&folder, "other", "0.8", "{}")];
    let options = options(&folder, ways);

    let clean = run(&options);
    let alone = run(&Options { ways: options.ways[..1].to_vec(), ..options.clone() });

    assert!(clean.expect("all is played"));
    assert!(matches!(alone, Err(Fault::Empty)));
    std::fs::remove_dir_all(&folder).expect("the test owns it");
}

#[test]
fn days_pass_only_if_no_rule_is_broken() {
    let folder = folder("days");
    let clean = options(&folder, vec![checkout(&folder, "clean", "0.9", "{}")]);
    let broken = options(&folder, vec![checkout(&folder, "broken", "0.0", r#"{"FLOW":1}"#)]);

    let passes = check(&clean);
    let fails = check(&broken);

    assert!(passes.expect("all is played"));
    assert!(!fails.expect("all is played"));
    std::fs::remove_dir_all(&folder).expect("the test owns it");
}

#[test]
fn way_is_parsed_from_name_and_folder() {
    assert_eq!("fifo=/tmp/a".parse(), Ok(way("fifo", Path::new("/tmp/a"))));
    assert!("fifo".parse::<Way>().is_err());
}
