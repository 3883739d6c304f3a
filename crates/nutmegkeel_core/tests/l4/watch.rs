//! Timeouts of a watch of the store.

use std::time::Duration;

use nutmegkeel_core::l4::watch::Timeouts;

fn apply_times() -> impl Iterator<Item = u64> {
    (1_000..=60_000).step_by(250)
}

/// Guards against a change that is applied late because its watch is never answered.
#[test]
fn an_unanswered_watch_leaves_a_third_of_the_time_for_a_change() {
    for apply_ms in apply_times() {
        let timeouts = Timeouts::for_apply_time(apply_ms);

        assert!(
            timeouts.total() <= Duration::from_millis(apply_ms * 2 / 3),
            "{apply_ms}: {timeouts:?}"
        );
    }
}

/// Guards against more store calls than the apply time requires, and against unbounded waits.
#[test]
fn the_wait_grows_with_the_apply_time_up_to_a_bound() {
    let waits: Vec<Duration> =
        apply_times().map(|apply_ms| Timeouts::for_apply_time(apply_ms).wait).collect();

    assert!(waits.is_sorted());
    assert_eq!(waits.last(), Some(&Duration::from_secs(8)));
}

/// Guards against busy polling of the store.
#[test]
fn a_watch_waits_even_if_the_apply_time_is_zero() {
    let timeouts = Timeouts::for_apply_time(0);

    assert!(timeouts.wait >= Duration::from_millis(200), "{timeouts:?}");
    assert!(timeouts.answer >= Duration::from_millis(200), "{timeouts:?}");
}
