use nutmegkeel_core::l4::outlier::Detector;

use crate::fixture::at;

fn fail(record: &mut Detector, now_ms: u64) {
    for _ in 0..3 {
        record.record_broken(at(now_ms));
    }
}

#[test]
fn one_broken_request_is_an_accident() {
    let mut record = Detector::default();
    for step in 0..200 {
        record.record_answered();
        if step % 20 == 0 {
            record.record_broken(at(step));
        }
    }

    assert!(!record.is_failing(at(200)));
}

#[test]
fn a_server_that_fails_again_on_its_return_is_left_for_longer() {
    let mut record = Detector::default();
    fail(&mut record, 0);
    let first = (record.is_failing(at(1_999)), record.is_failing(at(2_000)));

    fail(&mut record, 2_100);

    assert_eq!(first, (true, false));
    assert!(record.is_failing(at(6_000)));
    assert!(!record.is_failing(at(6_100)));
}

#[test]
fn a_server_that_has_recovered_starts_anew() {
    let mut record = Detector::default();
    fail(&mut record, 0);
    for _ in 0..50 {
        record.record_answered();
    }

    fail(&mut record, 10_000);

    assert!(!record.is_failing(at(12_000)));
}
