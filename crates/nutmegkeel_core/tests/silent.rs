//! Agents that were declared dead because they are silent.

use nutmegkeel_core::clock::Time;
use nutmegkeel_core::member::Instance;
use nutmegkeel_core::port::{Finding, State};
use nutmegkeel_core::silent::{Silent, Step};
use nutmegkeel_fake::fleet::address;

const INSTANCE: Instance = Instance::new(5);

/// Returns when an agent counts as ended that is suspect at 0 and declared dead at 2,000 ms, while
/// each check finds the state that `port` returns for its time.
fn ended_ms(port: impl Fn(u64) -> State) -> Option<u64> {
    let mut silent = Silent::default();
    silent.suspect(address(1), INSTANCE);
    for now_ms in (0..30_000).step_by(50) {
        let now = Time::from_millis(now_ms);
        if now_ms == 2_000 {
            silent.declare_dead(now, address(1), INSTANCE);
        }
        for step in silent.step(now) {
            match step {
                Step::Ended(agent, instance) => {
                    assert_eq!((agent, instance), (address(1), INSTANCE));
                    return Some(now_ms);
                }
                Step::Check(agent) => {
                    silent.port_checked(agent, Finding { state: port(now_ms), asked_at: now });
                }
            }
        }
    }
    None
}

/// Guards against resets of all flows of an agent that is only suspended, and against callers that
/// are never told.
#[test]
fn an_agent_with_an_open_port_has_ended_only_after_ten_seconds() {
    assert_eq!(ended_ms(|_| State::Open), Some(12_050));
}

/// Guards against callers of a lost agent that are told later because its port is checked.
#[test]
fn an_agent_without_an_open_port_has_ended_when_it_is_declared_dead() {
    assert_eq!(ended_ms(|_| State::Closed), Some(2_000));
    assert_eq!(ended_ms(|_| State::Unanswered), Some(2_000));
}

/// Guards against callers that wait for an agent which is killed while it is suspended.
#[test]
fn an_agent_whose_port_closes_has_ended_with_the_next_check() {
    let closes = |now_ms| if now_ms < 5_000 { State::Open } else { State::Closed };

    let ended = ended_ms(closes).expect("it has ended");

    assert!((5_000..=7_050).contains(&ended), "{ended}");
}

/// Guards against resets of an agent's flows by a balancer that was suspended itself, and has not
/// heard yet that the agent runs again.
#[test]
fn a_suspension_of_this_process_ends_no_agent() {
    let mut silent = Silent::default();
    for now_ms in (0..=3_000).step_by(50) {
        let now = Time::from_millis(now_ms);
        silent.declare_dead(now, address(1), INSTANCE);
        if silent.step(now).contains(&Step::Check(address(1))) {
            silent.port_checked(address(1), Finding { state: State::Open, asked_at: now });
        }
    }

    let resumed = silent.step(Time::from_millis(20_000));

    assert_eq!(resumed, [Step::Check(address(1))]);
}

/// Guards against the end of an agent that refuted its death.
#[test]
fn an_agent_that_is_heard_again_has_not_ended() {
    let mut silent = Silent::default();
    silent.declare_dead(Time::ZERO, address(1), INSTANCE);

    silent.remove(address(1));

    assert_eq!(silent.step(Time::from_millis(20_000)), []);
    assert!(!silent.is_declared(address(1), INSTANCE));
}
