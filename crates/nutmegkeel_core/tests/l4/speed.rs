use nutmegkeel_core::l4::agent::{Action, Agent, Event, Identity};
use nutmegkeel_core::l4::message::Message;
use nutmegkeel_core::l4::policy::{Condition, Policy};
use nutmegkeel_core::l4::speed::{MAX_WINDOW_MS, Meter};

use crate::fixture::{
    BALANCER, DOMAIN, agent, at, data, demand, flow, heartbeat, host, open_flow, send_data,
};

/// Records `answers` answers, each after `service_ms`, with all three slots of the server busy.
fn run_full(meter: &mut Meter, from: u64, service_ms: u64, answers: u64) -> u64 {
    let mut now = from;
    meter.record_working(at(now), 3);
    for _ in 0..answers.div_ceil(3) {
        let until = now + service_ms;
        while now < until {
            now = until.min(now + 100);
            meter.record_working(at(now), 3);
        }
        (0..3).for_each(|_| meter.record_answer(at(now)));
    }
    now
}

/// Guards against a slow server that goes undetected: it becomes seven times slower and is always
/// full, so that no request finds a free slot from which its service time could be learned.
#[test]
fn a_server_without_free_slots_is_measured_as_slow() {
    let mut meter = Meter::open(at(0));
    let now = run_full(&mut meter, 0, 50, 60);
    let before = meter.service_ms();

    let now = run_full(&mut meter, now, 350, 9);
    let soon = meter.service_ms();
    run_full(&mut meter, now, 350, 24);

    assert_eq!(before, 50);
    assert!(soon >= 125, "{soon}");
    let after = meter.service_ms();
    assert!((330..=350).contains(&after), "{after}");
}

#[test]
fn a_server_that_became_fast_again_is_measured_so_after_a_few_answers() {
    let mut meter = Meter::open(at(0));
    let now = run_full(&mut meter, 0, 350, 30);

    run_full(&mut meter, now, 50, 12);

    assert!(meter.service_ms() <= 60, "{}", meter.service_ms());
}

#[test]
fn the_service_time_is_unknown_before_there_are_enough_answers() {
    let mut meter = Meter::open(at(0));

    run_full(&mut meter, 0, 50, 21);

    assert_eq!(meter.service_ms(), 0);
}

/// Guards against a server that accepts requests and answers none, but looks fast by its last
/// answers.
#[test]
fn a_mute_server_does_not_look_fast() {
    let mut meter = Meter::open(at(0));
    let now = run_full(&mut meter, 0, 50, 60);

    for millis in (now..now + 2_000).step_by(100) {
        meter.record_working(at(millis), 3);
    }
    let soon = meter.service_ms();
    for millis in (now + 2_000..now + 60_000).step_by(100) {
        meter.record_working(at(millis), 3);
    }

    assert!(soon > 250, "{soon}");
    assert_eq!(u64::from(meter.service_ms()), MAX_WINDOW_MS);
}

#[test]
fn the_service_time_expires_without_requests() {
    let mut meter = Meter::open(at(0));
    let now = run_full(&mut meter, 0, 50, 60);

    for millis in (now..now + 12_000).step_by(100) {
        meter.record_working(at(millis), 0);
    }

    assert_eq!(meter.service_ms(), 0);
}

/// A stall of the agent's own process must not count as work of the server.
#[test]
fn a_stall_of_the_agent_does_not_count_as_work() {
    let mut meter = Meter::open(at(0));
    let now = run_full(&mut meter, 0, 50, 60);

    meter.record_working(at(now + 5_000), 3);
    run_full(&mut meter, now + 5_000, 50, 30);

    assert!(meter.service_ms() <= 50, "{}", meter.service_ms());
}

fn measuring_agent() -> Agent {
    let identity = Identity {
        address: host(1),
        incarnation: 1,
        domain: DOMAIN.into(),
        heartbeat_ms: 1_200,
        checkpoints_per_s: 80,
        policy: Policy::default().under([Condition::HiddenFaults]),
    };
    Agent::open(at(0), identity, &[BALANCER])
}

/// Lets an agent's server answer four simultaneous requests after `service_ms`, `rounds` times.
fn serve(agent: &mut Agent, from: u64, service_ms: u64, rounds: u64) -> u64 {
    let mut now = from;
    let mut next = 1_001 + 100_000 * u32::try_from(from % 1_000).expect("a small number");
    for _ in 0..rounds {
        (1..=4).for_each(|port| send_data(agent, now, flow(port), next));
        next += 100;
        for millis in (now..now + service_ms).step_by(50) {
            agent.handle(at(millis), Event::Tick);
        }
        now += service_ms;
        (1..=4).for_each(|port| {
            agent.handle(at(now), Event::FromServer(data(flow(port), 501, next)));
        });
    }
    now
}

fn start_server(agent: &mut Agent) {
    agent.handle(at(0), Event::Heartbeat(heartbeat("one", 1)));
    (1..=4).for_each(|port| open_flow(agent, 1, flow(port), demand(false)));
}

#[test]
fn an_agent_announces_the_service_time_with_its_load() {
    let mut agent = measuring_agent();
    start_server(&mut agent);

    let now = serve(&mut agent, 10, 60, 12);

    let service_ms = agent.load().service_ms;
    assert!((55..=65).contains(&service_ms), "{service_ms}");
    let announced =
        agent.handle(at(now + 300), Event::Tick).into_iter().find_map(|action| match action {
            Action::Send(_, Message::Announce(announcement)) => Some(announcement.load.service_ms),
            _ => None,
        });
    assert_eq!(announced, Some(service_ms));
}

/// Guards against a burst that makes a server look slow: requests beyond the slots wait in the
/// server's own queue, which is no work of a slot.
#[test]
fn requests_queued_at_the_server_do_not_count_as_work() {
    let mut agent = measuring_agent();
    start_server(&mut agent);
    let once = demand(true);
    (5..=6).for_each(|port| open_flow(&mut agent, 2, flow(port), once));
    (5..=6).for_each(|port| send_data(&mut agent, 3, flow(port), 1_001));

    serve(&mut agent, 10, 60, 12);

    let service_ms = agent.load().service_ms;
    assert!((55..=65).contains(&service_ms), "{service_ms}");
}

#[test]
fn a_new_server_is_measured_from_the_start() {
    let mut agent = measuring_agent();
    start_server(&mut agent);
    let now = serve(&mut agent, 10, 60, 12);

    agent.handle(at(now), Event::Heartbeat(heartbeat("two", 1)));

    assert_eq!(agent.load().service_ms, 0);
}

#[test]
fn a_server_that_became_warm_is_measured_from_the_start() {
    let mut agent = measuring_agent();
    let cold = |seq, warmup_ms| {
        Event::Heartbeat(nutmegkeel_core::l4::server::Heartbeat {
            warmup_ms,
            ..heartbeat("one", seq)
        })
    };
    agent.handle(at(0), cold(1, 5_000));
    (1..=4).for_each(|port| open_flow(&mut agent, 1, flow(port), demand(false)));
    let now = serve(&mut agent, 10, 300, 12);
    let while_cold = agent.load().service_ms;

    agent.handle(at(now), cold(2, 0));
    agent.handle(at(now), Event::Tick);

    assert!((270..=300).contains(&while_cold), "{while_cold}");
    assert_eq!(agent.load().service_ms, 0);
}

#[test]
fn without_the_mechanism_no_service_time_is_announced() {
    let mut agent = agent();
    start_server(&mut agent);

    serve(&mut agent, 10, 60, 12);

    assert_eq!(agent.load().service_ms, 0);
}

/// Guards against a slow server that looks fast because it is full: it rejects requests that must
/// run once at once, and if these counted as answers, new flows would return to it.
#[test]
fn requests_that_a_full_server_rejects_do_not_make_it_look_fast() {
    let mut agent = measuring_agent();
    start_server(&mut agent);
    let mut now = serve(&mut agent, 10, 350, 10);
    let before = agent.load().service_ms;
    let mut next = 9_000_001;

    (1..=4).for_each(|port| send_data(&mut agent, now, flow(port), next));
    (5..=14).for_each(|port| open_flow(&mut agent, now + 1, flow(port), demand(true)));
    for _ in 0..4 {
        next += 100;
        for port in 5..=14 {
            send_data(&mut agent, now + 3, flow(port), next);
            agent.handle(at(now + 4), Event::FromServer(data(flow(port), 501, next)));
        }
        now += 20;
    }

    assert!(agent.load().service_ms * 10 >= before * 9, "{}", agent.load().service_ms);
}
