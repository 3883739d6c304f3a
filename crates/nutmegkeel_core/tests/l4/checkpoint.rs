use nutmegkeel_core::l4::agent::{Action, Agent, Event};
use nutmegkeel_core::l4::checkpoint::{Checkpoint, MIN_INTERVAL_MS};
use nutmegkeel_core::l4::flow::Flow;
use nutmegkeel_core::l4::message::Message;
use nutmegkeel_core::l4::server::Incarnation;

use crate::fixture::{
    BALANCER, accepted, agent, at, data, flow, gossip, heartbeat, heartbeat_started_at, incarnation,
};

/// An earlier process's checkpoint with one flow at this server.
fn recovered_from(server: &str, flow: Flow, ack: u32) -> Event {
    Event::Recovered(Some(Checkpoint {
        number: 1,
        server: incarnation(server),
        flows: [(flow, ack)].into(),
    }))
}

fn reset_of(flow: Flow, seq: u32) -> Action {
    Action::Reset { flow, seq }
}

/// An agent with one open flow, on which the client has acknowledged `bytes`.
fn with_open_flow(bytes: u32) -> Agent {
    let mut agent = agent();
    agent.handle(at(0), Event::Recovered(None));
    agent.handle(at(0), Event::Heartbeat(heartbeat("a", 1)));
    agent.handle(at(10), Event::FromServer(accepted(flow(1), 500)));
    let head = data(flow(1), 1_001, 501 + bytes);
    agent.handle(at(12), Event::Carry { from: BALANCER, head, known: true });
    agent
}

fn saved(actions: Vec<Action>) -> Option<Checkpoint> {
    actions.into_iter().find_map(|action| match action {
        Action::Save(checkpoint) => Some(checkpoint),
        _ => None,
    })
}

/// Guards against clients that wait until their deadline after a power loss: the host and the
/// server have restarted, no process knows the flow, and its next request starts a search of all
/// agents.
#[test]
fn flows_lost_with_a_host_are_reset_as_soon_as_its_new_server_is_known() {
    let mut agent = agent();

    let before = agent.handle(at(100), recovered_from("a", flow(1), 700));
    let after = agent.handle(at(150), Event::Heartbeat(heartbeat("b", 1)));

    assert!(before.is_empty(), "{before:?}");
    assert!(after.contains(&reset_of(flow(1), 700)), "{after:?}");
}

#[test]
fn the_order_of_checkpoint_and_heartbeat_does_not_matter() {
    let mut agent = agent();
    agent.handle(at(100), Event::Heartbeat(heartbeat("b", 1)));

    let actions = agent.handle(at(300), recovered_from("a", flow(1), 700));

    assert!(actions.contains(&reset_of(flow(1), 700)), "{actions:?}");
}

/// Guards against clients that wait for seconds because the store was unavailable when their host
/// restarted. By the time that the checkpoint is read, the server has sent more heartbeats than a
/// new one.
#[test]
fn a_checkpoint_that_is_read_late_still_resets_its_flows() {
    let mut agent = agent();
    for seq in 2..=5 {
        agent.handle(at(200 + 1_200 * seq), Event::Heartbeat(heartbeat("b", seq)));
    }

    let actions = agent.handle(at(7_000), recovered_from("a", flow(1), 700));

    assert!(actions.contains(&reset_of(flow(1), 700)), "{actions:?}");
}

/// Guards against clients that wait until their deadline because their host is slow to start: the
/// agent misses the first heartbeats of the new server, whose start shows that it is new.
#[test]
fn flows_are_reset_when_the_agent_starts_long_after_its_new_server() {
    let mut agent = agent();
    let server = Incarnation { id: "a".into(), started_ms: Some(1_000) };
    let listed = Checkpoint { number: 1, server, flows: [(flow(1), 700)].into() };
    agent.handle(at(5_000), Event::Recovered(Some(listed)));

    let beat = heartbeat_started_at("b", 2_000, 9);
    let actions = agent.handle(at(5_050), Event::Heartbeat(beat));

    assert!(actions.contains(&reset_of(flow(1), 700)), "{actions:?}");
}

/// Guards against resets by a delayed heartbeat that arrives first at a new process: its sender
/// started before the server of the checkpoint.
#[test]
fn a_delayed_heartbeat_of_a_server_that_started_earlier_resets_nothing() {
    let mut agent = agent();
    let server = Incarnation { id: "b".into(), started_ms: Some(2_000) };
    let listed = Checkpoint { number: 1, server, flows: [(flow(1), 700)].into() };
    agent.handle(at(5_000), Event::Recovered(Some(listed)));

    let beat = heartbeat_started_at("a", 1_000, 9);
    let actions = agent.handle(at(5_050), Event::Heartbeat(beat));

    assert!(!actions.contains(&reset_of(flow(1), 700)), "{actions:?}");
}

/// Guards against resets of all flows of a healthy server after its agent's process was replaced:
/// the checkpoint of the earlier process lists flows that are still open.
#[test]
fn flows_of_the_same_incarnation_are_not_reset() {
    let mut agent = agent();
    agent.handle(at(100), recovered_from("a", flow(1), 700));

    let actions = agent.handle(at(150), Event::Heartbeat(heartbeat("a", 40)));

    assert!(!actions.contains(&reset_of(flow(1), 700)), "{actions:?}");
}

/// Guards against resets by a delayed heartbeat: the heartbeat of an earlier incarnation arrives
/// first at a new process and looks like another server.
#[test]
fn a_delayed_heartbeat_of_an_older_incarnation_resets_nothing() {
    let mut agent = agent();
    agent.handle(at(100), recovered_from("b", flow(1), 700));

    let actions = agent.handle(at(150), Event::Heartbeat(heartbeat("a", 12)));

    assert!(!actions.contains(&reset_of(flow(1), 700)), "{actions:?}");
}

#[test]
fn open_flows_are_saved_once() {
    let mut agent = with_open_flow(0);
    let early = saved(agent.handle(at(900), Event::Tick));

    let first = saved(agent.handle(at(MIN_INTERVAL_MS + 100), Event::Tick));
    let second = saved(agent.handle(at(2 * MIN_INTERVAL_MS + 200), Event::Tick));

    assert_eq!(early, None);
    assert_eq!(first.map(|checkpoint| checkpoint.flows), Some([(flow(1), 501)].into()));
    assert_eq!(second, None);
}

/// Guards against resets that a client ignores: it has received more data since the checkpoint than
/// the sequence number of a reset may be off.
#[test]
fn a_flow_that_has_progressed_is_saved_again() {
    let mut agent = with_open_flow(0);
    agent.handle(at(MIN_INTERVAL_MS + 100), Event::Tick);
    let head = data(flow(1), 1_101, 501 + 40_000);
    agent.handle(at(MIN_INTERVAL_MS + 200), Event::Carry { from: BALANCER, head, known: true });

    let again = saved(agent.handle(at(2 * MIN_INTERVAL_MS + 200), Event::Tick));

    assert_eq!(again.map(|checkpoint| checkpoint.flows), Some([(flow(1), 40_501)].into()));
}

/// With 16,000 agents, a checkpoint every three seconds would exceed the store's write rate more
/// than ten times.
#[test]
fn the_interval_between_checkpoints_grows_with_the_number_of_agents() {
    let mut agent = with_open_flow(0);
    let roster = gossip(1, &[BALANCER], 16_000);
    agent.handle(at(1_000), Event::Gossip(BALANCER, roster));

    let saves_at = |agent: &mut Agent, now: u64| {
        let head = data(flow(1), 1_101, 501);
        agent.handle(at(now), Event::Carry { from: BALANCER, head, known: true });
        saved(agent.handle(at(now), Event::Tick)).is_some()
    };
    let early = saves_at(&mut agent, 40_000);
    let later = saves_at(&mut agent, 80_000);
    let due = saves_at(&mut agent, 200_100);

    assert_eq!([early, later, due], [false, false, true]);
}

/// Guards against the loss of recently opened flows: a power loss right after the opening would
/// leave them out of the checkpoint.
#[test]
fn a_flow_that_was_just_opened_is_in_the_checkpoint() {
    let mut agent = with_open_flow(0);
    agent.handle(at(MIN_INTERVAL_MS), Event::FromServer(accepted(flow(2), 500)));
    let head = data(flow(2), 1_001, 501);
    agent.handle(at(MIN_INTERVAL_MS), Event::Carry { from: BALANCER, head, known: true });

    let checkpoint = saved(agent.handle(at(MIN_INTERVAL_MS + 100), Event::Tick));

    assert!(checkpoint.is_some_and(|checkpoint| checkpoint.flows.contains_key(&flow(2))));
}

/// Guards against a write for each new flow while nine of ten flows are in the checkpoint.
#[test]
fn one_new_flow_of_ten_does_not_cause_a_write() {
    let mut agent = with_open_flow(0);
    let open = |agent: &mut Agent, port: u16, now: u64| {
        agent.handle(at(now), Event::FromServer(accepted(flow(port), 500)));
        let head = data(flow(port), 1_001, 501);
        agent.handle(at(now), Event::Carry { from: BALANCER, head, known: true });
    };
    (2..=9).for_each(|port| open(&mut agent, port, 20));
    let first = saved(agent.handle(at(MIN_INTERVAL_MS + 100), Event::Tick));
    open(&mut agent, 10, MIN_INTERVAL_MS + 200);

    let second = saved(agent.handle(at(3 * MIN_INTERVAL_MS), Event::Tick));

    assert_eq!(first.map(|checkpoint| checkpoint.flows.len()), Some(9));
    assert_eq!(second, None);
}

/// Guards against the reset of an open flow after a restart of its agent: its server is paused for
/// longer than the interval of its heartbeats, and the agent denies that the flow is there.
#[test]
fn an_agent_without_a_server_does_not_deny_a_flow_of_its_predecessor() {
    let mut agent = agent();
    agent.handle(at(10), recovered_from("a", flow(1), 501));

    let listed = agent.handle(at(3_000), Event::Locate(BALANCER, flow(1)));
    let unlisted = agent.handle(at(3_000), Event::Locate(BALANCER, flow(2)));
    let later = agent.handle(at(12_000), Event::Locate(BALANCER, flow(1)));

    let load = agent.load();
    assert_eq!(listed, [Action::Send(BALANCER, Message::Unsure { flow: flow(1), load })]);
    assert_eq!(unlisted, [Action::Send(BALANCER, Message::Absent { flow: flow(2), load })]);
    assert_eq!(later, [Action::Send(BALANCER, Message::Absent { flow: flow(1), load })]);
}
