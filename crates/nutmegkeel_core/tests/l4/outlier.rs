use nutmegkeel_core::l4::outlier::Detector;

use crate::fixture::at;

fn fail(detector: &mut Detector, now_ms: u64) {
    for _ in 0..3 {
        detector.record_broken(at(now_ms));
    }
}

#[test]
fn rare_broken_requests_do_not_make_a_server_failing() {
    let mut detector = Detector::default();
    for step in 0..200 {
        detector.record_answered();
        if step % 20 == 0 {
            detector.record_broken(at(step));
        }
    }

    assert!(!detector.is_failing(at(200)));
}

#[test]
fn a_server_that_fails_again_on_its_return_is_spared_for_longer() {
    let mut detector = Detector::default();
    fail(&mut detector, 0);
    let first = (detector.is_failing(at(1_999)), detector.is_failing(at(2_000)));

    fail(&mut detector, 2_100);

    assert_eq!(first, (true, false));
    assert!(detector.is_failing(at(6_000)));
    assert!(!detector.is_failing(at(6_100)));
}

#[test]
fn a_recovered_server_is_spared_for_the_first_pause_again() {
    let mut detector = Detector::default();
    fail(&mut detector, 0);
    for _ in 0..50 {
        detector.record_answered();
    }

    fail(&mut detector, 10_000);

    assert!(!detector.is_failing(at(12_000)));
}
