use nutmegkeel_core::l4::agent::{Action, Agent, Event, Identity};
use nutmegkeel_core::l4::message::Message;
use nutmegkeel_core::l4::policy::{Condition, Policy};
use nutmegkeel_core::l4::speed::{LONGEST_MS, Meter};

use crate::fixture::{
    BALANCER, DOMAIN, agent, at, data, demand, flow, heartbeat, host, open_flow, send_data,
};

/// A meter of a server that has answered `answers` requests, each after `service_ms`, with all of its three
/// slots at work.
fn full(meter: &mut Meter, from: u64, service_ms: u64, answers: u64) -> u64 {
    let mut now = from;
    meter.look(at(now), 3);
    for _ in 0..answers.div_ceil(3) {
        let until = now + service_ms;
        while now < until {
            now = until.min(now + 100);
            meter.look(at(now), 3);
        }
        (0..3).for_each(|_| meter.answered(at(now)));
    }
    now
}

/// A server becomes seven times slower and is always full: no request finds a free slot there, so a time learnt
/// from those that do stays what it was.
#[test]
fn a_server_that_is_never_free_shows_that_it_became_slow() {
    let mut meter = Meter::open(at(0));
    let now = full(&mut meter, 0, 50, 60);
    let before = meter.service_ms();

    let now = full(&mut meter, now, 350, 9);
    let soon = meter.service_ms();
    full(&mut meter, now, 350, 24);

    assert_eq!(before, 50);
    assert!(soon >= 125, "{soon}");
    let after = meter.service_ms();
    assert!((330..=350).contains(&after), "{after}");
}

#[test]
fn a_server_that_became_fast_again_shows_it_with_a_few_answers() {
    let mut meter = Meter::open(at(0));
    let now = full(&mut meter, 0, 350, 30);

    full(&mut meter, now, 50, 12);

    assert!(meter.service_ms() <= 60, "{}", meter.service_ms());
}

#[test]
fn what_is_not_known_is_not_told() {
    let mut meter = Meter::open(at(0));

    full(&mut meter, 0, 50, 21);

    assert_eq!(meter.service_ms(), 0);
}

/// A server takes requests and answers none. By its last answers it would look as fast as before.
#[test]
fn a_mute_server_does_not_look_fast() {
    let mut meter = Meter::open(at(0));
    let now = full(&mut meter, 0, 50, 60);

    for millis in (now..now + 2_000).step_by(100) {
        meter.look(at(millis), 3);
    }
    let soon = meter.service_ms();
    for millis in (now + 2_000..now + 60_000).step_by(100) {
        meter.look(at(millis), 3);
    }

    assert!(soon > 250, "{soon}");
    assert_eq!(u64::from(meter.service_ms()), LONGEST_MS);
}

#[test]
fn a_server_without_requests_is_unknown_after_a_while() {
    let mut meter = Meter::open(at(0));
    let now = full(&mut meter, 0, 50, 60);

    for millis in (now..now + 12_000).step_by(100) {
        meter.look(at(millis), 0);
    }

    assert_eq!(meter.service_ms(), 0);
}

/// The agent's process stands still while the server answers. It must not take its own pause for work.
#[test]
fn a_pause_of_the_agent_is_no_work() {
    let mut meter = Meter::open(at(0));
    let now = full(&mut meter, 0, 50, 60);

    meter.look(at(now + 5_000), 3);
    full(&mut meter, now + 5_000, 50, 30);

    assert!(meter.service_ms() <= 50, "{}", meter.service_ms());
}

fn agent_that_tells() -> Agent {
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

/// Lets an agent's server answer `rounds` times four requests that came together, after `service_ms`.
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

fn started(agent: &mut Agent) {
    agent.handle(at(0), Event::Heartbeat(heartbeat("one", 1)));
    (1..=4).for_each(|port| open_flow(agent, 1, flow(port), demand(false)));
}

#[test]
fn an_agent_tells_the_time_with_its_load() {
    let mut agent = agent_that_tells();
    started(&mut agent);

    let now = serve(&mut agent, 10, 60, 12);

    let service_ms = agent.load().service_ms;
    assert!((55..=65).contains(&service_ms), "{service_ms}");
    let told =
        agent.handle(at(now + 300), Event::Tick).into_iter().find_map(|action| match action {
            Action::Send(_, Message::Announce(word)) => Some(word.load.service_ms),
            _ => None,
        });
    assert_eq!(told, Some(service_ms));
}

/// Requests beyond the slots wait in the server's own queue. That is no work of a slot, or a burst would look like
/// a slow server.
#[test]
fn a_queue_at_the_server_is_no_work() {
    let mut agent = agent_that_tells();
    started(&mut agent);
    let once = demand(true);
    (5..=6).for_each(|port| open_flow(&mut agent, 2, flow(port), once));
    (5..=6).for_each(|port| send_data(&mut agent, 3, flow(port), 1_001));

    serve(&mut agent, 10, 60, 12);

    let service_ms = agent.load().service_ms;
    assert!((55..=65).contains(&service_ms), "{service_ms}");
}

#[test]
fn a_new_server_starts_anew() {
    let mut agent = agent_that_tells();
    started(&mut agent);
    let now = serve(&mut agent, 10, 60, 12);

    agent.handle(at(now), Event::Heartbeat(heartbeat("two", 1)));

    assert_eq!(agent.load().service_ms, 0);
}

#[test]
fn a_server_that_became_warm_starts_anew() {
    let mut agent = agent_that_tells();
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
fn without_the_mechanism_no_time_is_told() {
    let mut agent = agent();
    started(&mut agent);

    serve(&mut agent, 10, 60, 12);

    assert_eq!(agent.load().service_ms, 0);
}

/// A slow server is full, and requests that must run once do not wait at the agent: the server turns them away at
/// once. Counted as answers, these made it look faster than its peers, and new flows came back to it.
#[test]
fn requests_that_a_full_server_turns_away_do_not_make_it_fast() {
    let mut agent = agent_that_tells();
    started(&mut agent);
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
