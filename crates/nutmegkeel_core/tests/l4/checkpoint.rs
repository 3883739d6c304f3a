use nutmegkeel_core::l4::agent::{Action, Agent, Event};
use nutmegkeel_core::l4::checkpoint::{Checkpoint, PAUSE_MS};
use nutmegkeel_core::l4::flow::Flow;

use crate::fixture::{BALANCER, accepted, agent, at, data, flow, gossip, heartbeat, incarnation};

/// The list that an earlier process left of one flow at this server.
fn left_by(server: &str, flow: Flow, ack: u32) -> Event {
    Event::Recovered(Some(Checkpoint {
        number: 1,
        server: incarnation(server),
        flows: [(flow, ack)].into(),
    }))
}

fn reset_of(flow: Flow, seq: u32) -> Action {
    Action::Reset { flow, seq }
}

/// An agent whose server answers a flow's data with `bytes` acknowledged, seen from the start.
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

/// After a loss of power a feed hangs until its deadline, and the client's next feed begins with a
/// search for a flow that nobody holds. Host and server have come back, and nobody knows the flow.
#[test]
fn clients_of_a_host_that_lost_power_are_told_as_soon_as_its_new_server_is_known() {
    let mut agent = agent();

    let before = agent.handle(at(100), left_by("a", flow(1), 700));
    let after = agent.handle(at(150), Event::Heartbeat(heartbeat("b", 1)));

    assert!(before.is_empty(), "{before:?}");
    assert!(after.contains(&reset_of(flow(1), 700)), "{after:?}");
}

#[test]
fn the_order_of_list_and_heartbeat_does_not_matter() {
    let mut agent = agent();
    agent.handle(at(100), Event::Heartbeat(heartbeat("b", 1)));

    let actions = agent.handle(at(300), left_by("a", flow(1), 700));

    assert!(actions.contains(&reset_of(flow(1), 700)), "{actions:?}");
}

/// After a loss of power clients of lost flows wait for seconds, though the store has the list of their flows:
/// it was away when their host came back, and by the time that it hands the list out the server has sent
/// more heartbeats than one that is just heard of.
#[test]
fn a_list_that_the_store_hands_out_late_still_tells_its_clients() {
    let mut agent = agent();
    for seq in 2..=5 {
        agent.handle(at(200 + 1_200 * seq), Event::Heartbeat(heartbeat("b", seq)));
    }

    let actions = agent.handle(at(7_000), left_by("a", flow(1), 700));

    assert!(actions.contains(&reset_of(flow(1), 700)), "{actions:?}");
}

/// All feeds of a healthy server break off because its agent's process was replaced: the list of the
/// earlier process names flows that are open and well.
#[test]
fn flows_of_the_same_incarnation_are_left_alone() {
    let mut agent = agent();
    agent.handle(at(100), left_by("a", flow(1), 700));

    let actions = agent.handle(at(150), Event::Heartbeat(heartbeat("a", 40)));

    assert!(!actions.contains(&reset_of(flow(1), 700)), "{actions:?}");
}

/// A heartbeat of an earlier incarnation was held up by a cut and arrives first at a new process. It
/// looks like another server, though the flows' own one is well.
#[test]
fn a_late_heartbeat_of_an_older_incarnation_resets_nothing() {
    let mut agent = agent();
    agent.handle(at(100), left_by("b", flow(1), 700));

    let actions = agent.handle(at(150), Event::Heartbeat(heartbeat("a", 12)));

    assert!(!actions.contains(&reset_of(flow(1), 700)), "{actions:?}");
}

#[test]
fn open_flows_are_noted_once() {
    let mut agent = with_open_flow(0);
    let early = saved(agent.handle(at(900), Event::Tick));

    let first = saved(agent.handle(at(PAUSE_MS + 100), Event::Tick));
    let second = saved(agent.handle(at(2 * PAUSE_MS + 200), Event::Tick));

    assert_eq!(early, None);
    assert_eq!(first.map(|list| list.flows), Some([(flow(1), 501)].into()));
    assert_eq!(second, None);
}

/// A client ignores the reset of its lost flow: it has received more since the note than a reset's
/// number may be off.
#[test]
fn a_flow_that_has_moved_on_is_noted_again() {
    let mut agent = with_open_flow(0);
    agent.handle(at(PAUSE_MS + 100), Event::Tick);
    let head = data(flow(1), 1_101, 501 + 40_000);
    agent.handle(at(PAUSE_MS + 200), Event::Carry { from: BALANCER, head, known: true });

    let again = saved(agent.handle(at(2 * PAUSE_MS + 200), Event::Tick));

    assert_eq!(again.map(|list| list.flows), Some([(flow(1), 40_501)].into()));
}

/// With 16,000 agents a list each three seconds would take more than ten times what the store accepts.
#[test]
fn the_pause_between_lists_grows_with_the_fleet() {
    let mut agent = with_open_flow(0);
    let roster = gossip(1, &[BALANCER], 16_000);
    agent.handle(at(1_000), Event::Roster(BALANCER, roster));

    let flow_at = |agent: &mut Agent, now: u64| {
        let head = data(flow(1), 1_101, 501);
        agent.handle(at(now), Event::Carry { from: BALANCER, head, known: true });
        saved(agent.handle(at(now), Event::Tick)).is_some()
    };
    let early = flow_at(&mut agent, 40_000);
    let later = flow_at(&mut agent, 80_000);
    let due = flow_at(&mut agent, 200_100);

    assert_eq!([early, later, due], [false, false, true]);
}

/// A host lost power just after its clients had opened their flows. They were too young for the list, and
/// filings on them were lost with a reset half a second later.
#[test]
fn a_flow_that_was_just_opened_is_in_the_list() {
    let mut agent = with_open_flow(0);
    agent.handle(at(PAUSE_MS), Event::FromServer(accepted(flow(2), 500)));
    let head = data(flow(2), 1_001, 501);
    agent.handle(at(PAUSE_MS), Event::Carry { from: BALANCER, head, known: true });

    let list = saved(agent.handle(at(PAUSE_MS + 100), Event::Tick));

    assert!(list.is_some_and(|list| list.flows.contains_key(&flow(2))));
}

/// Lists cost more than they gain: each new flow led to another write, though nine of ten flows were
/// noted.
#[test]
fn one_new_flow_of_ten_is_not_worth_a_write() {
    let mut agent = with_open_flow(0);
    let open = |agent: &mut Agent, port: u16, now: u64| {
        agent.handle(at(now), Event::FromServer(accepted(flow(port), 500)));
        let head = data(flow(port), 1_001, 501);
        agent.handle(at(now), Event::Carry { from: BALANCER, head, known: true });
    };
    (2..=9).for_each(|port| open(&mut agent, port, 20));
    let first = saved(agent.handle(at(PAUSE_MS + 100), Event::Tick));
    open(&mut agent, 10, PAUSE_MS + 200);

    let second = saved(agent.handle(at(3 * PAUSE_MS), Event::Tick));

    assert_eq!(first.map(|list| list.flows.len()), Some(9));
    assert_eq!(second, None);
}
