//! Tests what the recorder keeps and renders.

use std::fs;

use metrics::{counter, gauge, histogram, with_local_recorder};
use nutmegkeel_node::metric::{self, Handle};

/// Returns the resident memory of this process, in pages of four KiB.
fn resident_pages() -> u64 {
    let sizes = fs::read_to_string("/proc/self/statm").expect("the file can be read");
    sizes.split(' ').nth(1).and_then(|pages| pages.parse().ok()).expect("a number of pages")
}

/// Guards against memory that grows with traffic: kept samples of eight bytes per answer accumulate
/// as long as the metrics are not read, until the process is killed for its memory use.
#[test]
fn unread_samples_do_not_accumulate_in_memory() {
    metric::install().expect("the first recorder of this process");
    histogram!("unread_seconds").record(0.1);
    let before = resident_pages();

    for _ in 0..4_000_000 {
        histogram!("unread_seconds").record(0.1);
    }

    let grown = resident_pages().saturating_sub(before);
    assert!(grown < 1_024, "{grown} pages");
}

#[test]
fn rendered_text_groups_series_by_name_and_label() {
    let recorder = Handle::open();
    with_local_recorder(&recorder, || {
        counter!("drops_total", "reason" => "b").increment(2);
        counter!("drops_total", "reason" => "a").increment(1);
        gauge!("flows").set(7.5);
        histogram!("wait_seconds").record(0.003);
        histogram!("wait_seconds").record(0.3);
    });

    let text = recorder.render();

    let drops = "# TYPE drops_total counter\ndrops_total{reason=\"a\"} 1\n\
                 drops_total{reason=\"b\"} 2\n";
    assert!(text.contains(drops), "{text}");
    assert!(text.contains("# TYPE flows gauge\nflows 7.5\n"), "{text}");
    for line in [
        "wait_seconds_bucket{le=\"0.002\"} 0",
        "wait_seconds_bucket{le=\"0.005\"} 1",
        "wait_seconds_bucket{le=\"0.5\"} 2",
        "wait_seconds_bucket{le=\"+Inf\"} 2",
        "wait_seconds_sum 0.303",
        "wait_seconds_count 2",
    ] {
        assert!(text.contains(line), "{line} in {text}");
    }
}
