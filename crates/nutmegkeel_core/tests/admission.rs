//! Admission control: concurrency limit, queue, shedding, cancellation and deadlines.

use nutmegkeel_core::admission::{Decision, Gate, Id, Reason};
use nutmegkeel_core::clock::Time;
use quickcheck::{Arbitrary, Gen, QuickCheck};

const SLOTS: u32 = 7;
const LATE_DEADLINE: Time = Time::from_millis(1_000_000);

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn full_gate() -> Gate {
    let mut gate = Gate::open(SLOTS, 1);
    for id in 0..u64::from(SLOTS) {
        assert_eq!(gate.arrive(at(0), Id(id), LATE_DEADLINE), Some(Decision::Start(Id(id))));
    }
    gate
}

#[test]
fn a_request_beyond_the_slots_waits_and_starts_when_one_is_free() {
    let mut gate = full_gate();

    let waits = gate.arrive(at(1), Id(100), LATE_DEADLINE);
    let starts = gate.finish(at(5), Id(0), false);

    assert_eq!(waits, None);
    assert_eq!(starts, [Decision::Start(Id(100))]);
    assert_eq!(gate.busy(), SLOTS);
}

/// Guards against a request that joins a queue too long for its deadline and fails only when the
/// deadline passes. It must be refused when it arrives.
#[test]
fn a_request_that_cannot_finish_in_time_is_refused_at_once() {
    let mut gate = full_gate();

    let decision = gate.arrive(at(1), Id(100), at(10));

    assert!(matches!(decision, Some(Decision::Refuse(Id(100), Reason::Busy, _))));
}

/// Guards against wasted slots under overload: service times vary, so of the requests that start
/// with only the mean service time left, half finish after their deadline.
#[test]
fn a_request_is_refused_when_only_a_fast_one_would_finish() {
    let mut gate = Gate::open(SLOTS, 1);
    for id in 0..100 {
        let took = if id % 2 == 0 { 10 } else { 30 };
        gate.arrive(at(id * 100), Id(id), LATE_DEADLINE);
        gate.finish(at(id * 100 + took), Id(id), false);
    }
    let now = 20_000;
    for id in 200..200 + u64::from(SLOTS) {
        gate.arrive(at(now), Id(id), LATE_DEADLINE);
    }

    let decision = gate.arrive(at(now), Id(300), at(now + 45));

    assert!(matches!(decision, Some(Decision::Refuse(Id(300), Reason::Busy, _))), "{decision:?}");
}

/// Guards against callers that wait in vain: while the backend server stalls, a queued request
/// becomes unable to finish before its deadline. It must be refused then and not at the deadline.
#[test]
fn a_waiting_request_that_can_no_longer_finish_is_refused_before_its_deadline() {
    let mut gate = full_gate();
    let deadline = at(500);
    assert_eq!(gate.arrive(at(1), Id(100), deadline), None);

    let before = gate.tick(at(470));
    let decisions = gate.tick(at(481));

    assert_eq!(before, []);
    assert!(matches!(decisions[..], [Decision::Refuse(Id(100), Reason::Late, _)]));
}

/// Guards against refused callers that all retry at the same time, and are refused again, because
/// they got the same pause.
#[test]
fn pauses_of_refused_callers_are_spread() {
    let mut gate = full_gate();
    let mut pauses: Vec<u64> = (100..200)
        .filter_map(|id| match gate.arrive(at(1), Id(id), at(2)) {
            Some(Decision::Refuse(_, _, after)) => Some(after),
            _ => None,
        })
        .collect();
    pauses.sort_unstable();

    assert_eq!(pauses.len(), 100);
    assert!(pauses[0] >= 1_000);
    assert!(pauses[90] - pauses[10] > 500, "{pauses:?}");
}

#[test]
fn shedding_lowers_the_limit_and_answers_raise_it_again() {
    let mut gate = full_gate();
    for id in 0..2 {
        gate.finish(at(5), Id(id), true);
    }
    let lowered = gate.limit();

    for id in 2..u64::from(SLOTS) {
        gate.cancel(at(6), Id(id));
    }
    for id in 1_000..1_100 {
        gate.arrive(at(6), Id(id), LATE_DEADLINE);
        gate.finish(at(8), Id(id), false);
    }

    assert!(lowered <= 2, "{lowered}");
    assert_eq!(gate.limit(), SLOTS as usize);
}

#[test]
fn a_warming_server_gets_a_share_of_its_slots() {
    let mut gate = Gate::open(SLOTS, 1);
    gate.ramp(30);

    let started = (0..SLOTS)
        .filter(|id| gate.arrive(at(0), Id((*id).into()), LATE_DEADLINE).is_some())
        .count();

    assert_eq!(started, 2);
}

/// One input of a gate.
#[derive(Clone, Copy, Debug)]
enum Step {
    Arrive { within: u16 },
    Finish { which: u8, shed: bool },
    Cancel { which: u8 },
    Wait { millis: u8 },
    Ramp { percent: u8 },
}

impl Arbitrary for Step {
    fn arbitrary(source: &mut Gen) -> Self {
        match u8::arbitrary(source) % 8 {
            0..=3 => Self::Arrive { within: u16::arbitrary(source) % 2_000 },
            4 => Self::Finish { which: u8::arbitrary(source), shed: bool::arbitrary(source) },
            5 => Self::Cancel { which: u8::arbitrary(source) },
            6 => Self::Wait { millis: u8::arbitrary(source) },
            _ => Self::Ramp { percent: u8::arbitrary(source) % 101 },
        }
    }
}

/// Checks for any order of inputs that no more requests run than there are slots (also asserted in
/// the gate), that each request gets at most one decision, and that none waits past its deadline.
fn invariants_hold(steps: Vec<Step>) -> bool {
    let mut gate = Gate::open(SLOTS, 7);
    let mut now = Time::ZERO;
    let mut next = 0;
    let mut waiting: Vec<(Id, Time)> = Vec::new();
    let mut running: Vec<Id> = Vec::new();
    for step in steps {
        let decisions = match step {
            Step::Arrive { within } => {
                let id = Id(next);
                next += 1;
                let deadline = now.after(within.into());
                waiting.push((id, deadline));
                gate.arrive(now, id, deadline).into_iter().collect()
            }
            Step::Finish { which, shed } if !running.is_empty() => {
                let id = running.swap_remove(usize::from(which) % running.len());
                gate.finish(now, id, shed)
            }
            Step::Cancel { which } if !waiting.is_empty() => {
                let (id, _) = waiting.swap_remove(usize::from(which) % waiting.len());
                gate.cancel(now, id)
            }
            Step::Wait { millis } => {
                now = now.after(millis.into());
                gate.tick(now)
            }
            Step::Ramp { percent } => {
                gate.ramp(percent.into());
                gate.tick(now)
            }
            Step::Finish { .. } | Step::Cancel { .. } => Vec::new(),
        };
        for decision in decisions {
            let (Decision::Start(id) | Decision::Refuse(id, ..)) = decision;
            let Some(at) = waiting.iter().position(|(waits, _)| *waits == id) else {
                return false;
            };
            waiting.swap_remove(at);
            if matches!(decision, Decision::Start(_)) {
                running.push(id);
            }
        }
        let late = waiting.iter().any(|(_, deadline)| *deadline < now);
        if late || running.len() != gate.busy() as usize || running.len() > SLOTS as usize {
            return false;
        }
    }
    true
}

#[test]
fn invariants_hold_for_random_steps() {
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(400, 11)).tests(500);
    check.quickcheck(invariants_hold as fn(Vec<Step>) -> bool);
}
