use nutmegkeel_core::clock::Time;
use nutmegkeel_core::l4::balancer::{Action, Balancer, Event};
use nutmegkeel_core::l4::evacuation::Orders;
use nutmegkeel_core::l4::fetch::Holder;
use nutmegkeel_core::l4::message::{Admission, Load, Message, Offer, Reason, State};
use nutmegkeel_core::l4::policy::{Mechanism, Policy};
use nutmegkeel_core::l4::route::Service;

use crate::fixture::{
    BALANCER, PORT, announce, announcement, at, balancer, data, default_service, flow, forwarded,
    gossip, host, identity, opening, resets, service_address, table,
};

fn declined(from: u8, head: nutmegkeel_core::l4::flow::Head, reason: Reason) -> Event {
    Event::Declined { from: host(from), head, reason, load: Load::default() }
}

#[test]
fn copies_of_an_opening_go_where_the_first_went() {
    let mut balancer = balancer(&[1, 2, 3, 4, 5]);
    let first = forwarded(&balancer.handle(at(3_000), Event::Client(opening(flow(1), 0))));

    let copy = forwarded(&balancer.handle(at(3_200), Event::Client(opening(flow(1), 1))));

    assert!(first.is_some());
    assert_eq!(copy, first);
}

#[test]
fn a_copy_goes_to_another_agent_when_the_first_one_is_silent() {
    let mut balancer = balancer(&[1, 2, 3]);
    let first = forwarded(&balancer.handle(at(3_000), Event::Client(opening(flow(1), 0))));
    let others: Vec<u8> = [1, 2, 3].into_iter().filter(|n| Some(host(*n)) != first).collect();
    announce(&mut balancer, &others, 3_300, 3_800);

    let copy = forwarded(&balancer.handle(at(3_800), Event::Client(opening(flow(1), 2))));

    assert!(copy.is_some());
    assert_ne!(copy, first);
}

/// Guards against an open flow that is reset while its backend server is alive. An agent that
/// refused the opening for lack of a slot accepts it when asked again, and a copy moves the
/// balancer's cache entry to another agent. The search must not leave out agents that refused the
/// opening.
#[test]
fn an_agent_that_refused_an_opening_is_asked_for_the_flow() {
    let mut balancer = balancer(&[1, 2]);
    let head = opening(flow(1), 0);
    balancer.handle(at(3_000), Event::Client(head));
    balancer.handle(at(3_001), declined(1, head, Reason::Busy));
    balancer.handle(at(3_002), declined(2, head, Reason::Busy));

    let packet = data(flow(1), 1_001, 500);
    let mut asked = vec![forwarded(&balancer.handle(at(3_010), Event::Client(packet)))];
    for _ in 0..2 {
        let Some(Some(agent)) = asked.last().copied() else { break };
        let number = agent.octets()[3];
        let actions = balancer.handle(at(3_012), declined(number, packet, Reason::NotHeld));
        asked.push(forwarded(&actions));
    }

    assert!(asked.contains(&Some(host(1))), "{asked:?}");
    assert!(asked.contains(&Some(host(2))), "{asked:?}");
}

#[test]
fn a_flow_that_no_agent_holds_is_reset() {
    let mut balancer = balancer(&[1, 2]);
    let packet = data(flow(1), 1_001, 500);
    let first = forwarded(&balancer.handle(at(3_000), Event::Client(packet)));
    let (one, two) = if first == Some(host(1)) { (1, 2) } else { (2, 1) };
    balancer.handle(at(3_002), declined(one, packet, Reason::NotHeld));

    let actions = balancer.handle(at(3_004), declined(two, packet, Reason::NotHeld));

    assert!(actions.contains(&Action::Reset { flow: flow(1), seq: 500 }), "{actions:?}");
}

/// Guards against a reset during a planned restart: the agent that holds the flow is being
/// replaced, and all other agents report that they do not hold it.
#[test]
fn a_flow_is_not_reset_while_an_agent_restarts() {
    let mut balancer = balancer(&[1, 2]);
    let restarting = announcement(9_000, State::Restarting, Load::default());
    balancer.handle(at(3_000), Event::Announced(host(2), restarting));
    announce(&mut balancer, &[1], 3_300, 4_500);
    let packet = data(flow(1), 1_001, 500);
    balancer.handle(at(4_500), Event::Client(packet));

    let actions = balancer.handle(at(4_502), declined(1, packet, Reason::NotHeld));

    assert!(!resets(&actions), "{actions:?}");
}

/// Guards against a client that waits for its own timeout although its agent is dead. It has sent
/// its request and sends no further packet that a reset could answer.
#[test]
fn flows_of_a_dead_agent_are_reset_without_a_packet() {
    let mut balancer = balancer(&[1, 2, 3]);
    let packet = data(flow(1), 1_001, 500);
    balancer.handle(at(3_000), Event::Client(packet));
    let holds = Event::Holds { from: host(1), flow: flow(1), load: Load::default() };
    balancer.handle(at(3_001), holds);
    announce(&mut balancer, &[2, 3], 3_300, 4_800);

    let actions = balancer.handle(at(5_100), Event::Tick);

    assert!(actions.contains(&Action::Reset { flow: flow(1), seq: 500 }), "{actions:?}");
}

/// Guards against flows of live servers that are reset when another host dies. The balancer had
/// only asked the dead agent for the flow and must not take that for the flow's location.
#[test]
fn a_flow_is_not_reset_when_an_agent_that_was_asked_for_it_dies() {
    let mut balancer = balancer(&[1, 2, 3]);
    let packet = data(flow(1), 1_001, 500);
    let asked = forwarded(&balancer.handle(at(3_000), Event::Client(packet)));
    let alive: Vec<u8> = [1, 2, 3].into_iter().filter(|n| Some(host(*n)) != asked).collect();
    announce(&mut balancer, &alive, 3_300, 4_800);

    let actions = balancer.handle(at(5_100), Event::Tick);

    assert!(!resets(&actions), "{actions:?}");
}

/// Guards against resetting all flows of a balancer whose host was stalled for three seconds. It
/// received no announcements in that time and would take every agent for dead.
#[test]
fn a_stalled_balancer_resets_no_flows() {
    let mut balancer = balancer(&[1, 2, 3]);
    let holds = Event::Holds { from: host(1), flow: flow(1), load: Load::default() };
    balancer.handle(at(3_001), holds);

    let actions = balancer.handle(at(6_500), Event::Client(data(flow(1), 1_001, 500)));

    assert_eq!(forwarded(&actions), Some(host(1)));
    assert!(!resets(&actions), "{actions:?}");
}

/// Guards against a flow that a balancer opens by a route that was changed while it was stopped. Its
/// packets have waited, and it reads them before it hears of the change.
#[test]
fn a_balancer_that_was_stopped_opens_no_flow_by_an_old_route() {
    let vault = Service::named("vault");
    let mut balancer = balancer(&[1, 2]);
    let mut other = announcement(9_000, State::Ready, Load::default());
    other.service = Some(vault);
    balancer.handle(at(3_000), Event::Announced(host(3), other.clone()));

    let early = balancer.handle(at(8_000), Event::Client(opening(flow(1), 0)));
    balancer.handle(at(8_005), Event::Announced(host(3), other));
    let changed = balancer.handle(at(8_010), Event::Configured(table(2, &[(PORT, vault)])));
    let recalled = balancer.handle(at(8_010), Event::Recalled(opening(flow(1), 0)));

    assert_eq!(forwarded(&early), None);
    assert!(changed.contains(&Action::Recall), "{changed:?}");
    assert_eq!(forwarded(&recalled), Some(host(3)));
}

/// Lets each agent that is asked for a flow deny it. Returns all actions.
fn deny_all(balancer: &mut Balancer, now: Time, mut actions: Vec<Action>) -> Vec<Action> {
    for action in actions.clone() {
        if let Action::Send(from, Message::Locate { flow }) = action {
            let denial = Event::Absent { from, flow, load: Load::default() };
            actions.extend(balancer.handle(now, denial));
        }
    }
    actions
}

/// Guards against the reset of an open flow whose route was added while its balancer was stopped,
/// and against openings that wait for a change that does not come.
#[test]
fn a_balancer_that_was_stopped_resets_no_flow_of_a_new_route() {
    let mut balancer = balancer(&[1, 2]);
    let mut unknown = data(flow(1), 1_001, 500);
    unknown.flow.service = service_address(PORT + 1);

    let early = balancer.handle(at(8_000), Event::Client(unknown));
    balancer.handle(at(8_000), Event::Client(opening(flow(2), 0)));
    announce(&mut balancer, &[1, 2], 8_010, 8_010);
    let late = balancer.handle(at(8_320), Event::Tick);
    let searched = balancer.handle(at(8_320), Event::Recalled(unknown));
    let placed = balancer.handle(at(8_320), Event::Recalled(opening(flow(2), 0)));
    // The balancer has no peers, so it knows all agents three seconds after it resumed.
    let mut ended = deny_all(&mut balancer, at(8_322), searched.clone());
    for millis in (8_400..=11_300).step_by(100) {
        for agent in [1, 2] {
            let announced = announcement(millis, State::Ready, Load::default());
            let asked = balancer.handle(at(millis), Event::Announced(host(agent), announced));
            ended.extend(deny_all(&mut balancer, at(millis + 2), asked));
        }
    }

    assert!(!resets(&early), "{early:?}");
    assert!(late.contains(&Action::Recall), "{late:?}");
    assert!(!resets(&searched), "{searched:?}");
    assert!(ended.contains(&Action::Reset { flow: unknown.flow, seq: 500 }), "{ended:?}");
    assert!(forwarded(&placed).is_some(), "{placed:?}");
}

/// Guards against a client that waits on a lost flow after a power loss. Its packet arrives while
/// agents are still appearing, and its next copy follows only after 1.6 s. The balancer must reset
/// the flow as soon as all agents have answered.
#[test]
fn a_waiting_client_is_reset_once_all_agents_are_known() {
    let mut balancer = balancer(&[]);
    for now_ms in (0..3_000).step_by(500) {
        balancer.handle(at(now_ms), Event::Tick);
    }
    announce(&mut balancer, &[1], 3_000, 3_000);
    let packet = data(flow(1), 1_001, 500);
    balancer.handle(at(3_100), Event::Client(packet));
    let early = balancer.handle(at(3_102), declined(1, packet, Reason::NotHeld));
    announce(&mut balancer, &[1], 3_300, 3_600);

    let late = balancer.handle(at(3_800), Event::Tick);

    assert!(!resets(&early), "{early:?}");
    assert!(late.contains(&Action::Reset { flow: flow(1), seq: 500 }), "{late:?}");
}

#[test]
fn an_opening_asks_for_an_idle_slot_twice_and_then_may_wait() {
    let mut balancer = balancer(&[1, 2, 3, 4]);
    let head = opening(flow(1), 0);
    let mut actions = balancer.handle(at(3_000), Event::Client(head));
    let mut admissions = Vec::new();
    for step in 0..3 {
        let (agent, admission) = actions
            .iter()
            .find_map(|action| match action {
                Action::Forward(agent, Message::Open(Offer { admission, .. })) => {
                    Some((*agent, *admission))
                }
                _ => None,
            })
            .expect("an agent is asked");
        admissions.push(admission);
        let event = declined(agent.octets()[3], head, Reason::Busy);
        actions = balancer.handle(at(3_001 + step), event);
    }

    let expected = [Admission::IfIdle, Admission::IfIdle, Admission::IfInTime];
    assert_eq!(admissions, expected);
}

/// Guards against openings that waited at one agent until their clients gave up and are then
/// offered to the next one, which wastes its slots: the fleet stays overloaded long after a burst.
#[test]
fn an_opening_is_not_offered_again_when_its_client_has_given_up() {
    let mut balancer = balancer(&[1, 2, 3]);
    let head = opening(flow(1), 0);
    let first = forwarded(&balancer.handle(at(3_000), Event::Client(head)));
    announce(&mut balancer, &[1, 2, 3], 3_300, 4_200);

    let number = first.expect("it is placed").octets()[3];
    let actions = balancer.handle(at(4_200), declined(number, head, Reason::Late));

    assert_eq!(forwarded(&actions), None);
    assert!(resets(&actions), "{actions:?}");
}

/// Guards against a reset that closes a flow which a copy of the same opening has opened elsewhere.
/// The reset by the balancer of the first copy must not carry a number that the open flow accepts.
#[test]
fn a_refused_opening_is_reset_with_a_number_that_no_open_flow_has() {
    let mut balancer = balancer(&[1]);
    let head = opening(flow(1), 0);
    balancer.handle(at(3_000), Event::Client(head));

    let actions = balancer.handle(at(3_001), declined(1, head, Reason::Full));

    assert!(actions.contains(&Action::Reset { flow: flow(1), seq: 0x8000_0000 }), "{actions:?}");
}

#[test]
fn an_older_configuration_is_ignored() {
    let mut balancer = balancer(&[1]);
    balancer.handle(at(3_000), Event::Configured(table(5, &[])));

    balancer.handle(at(3_001), Event::Configured(table(4, &[(PORT, default_service())])));
    let actions = balancer.handle(at(3_002), Event::Client(opening(flow(1), 0)));

    assert_eq!(balancer.version(), 5);
    assert!(resets(&actions), "{actions:?}");
}

#[test]
fn a_copy_of_an_opening_follows_its_route_to_another_service() {
    let vault = Service::named("vault");
    let mut balancer = balancer(&[1, 2]);
    balancer.handle(at(3_000), Event::Client(opening(flow(1), 0)));
    balancer.handle(at(3_100), Event::Configured(table(2, &[(PORT, vault)])));
    let mut other = announcement(9_000, State::Ready, Load::default());
    other.service = Some(vault);
    balancer.handle(at(3_101), Event::Announced(host(3), other));

    let actions = balancer.handle(at(3_200), Event::Client(opening(flow(1), 1)));

    assert_eq!(forwarded(&actions), Some(host(3)));
}

#[test]
fn a_peer_with_a_newer_configuration_is_asked_for_it() {
    let mut balancer = balancer(&[1]);
    let peer = host(77);
    let gossip = gossip(9, &[peer], 0);

    let actions = balancer.handle(at(3_000), Event::Gossip(peer, gossip));

    let holder = Holder { address: peer, version: 9 };
    assert!(actions.contains(&Action::Fetch(holder)), "{actions:?}");
}

#[test]
fn a_leaving_balancer_is_not_ready_and_reports_it() {
    let mut balancer = balancer(&[1]);
    let peer = host(77);
    let gossip = gossip(1, &[peer], 0);
    balancer.handle(at(3_000), Event::Gossip(peer, gossip));
    let before = balancer.is_ready(at(3_001));

    let actions = balancer.handle(at(3_001), Event::Leave);

    assert!(before);
    assert!(!balancer.is_ready(at(3_002)));
    let reports_leaving = |action: &Action| {
        matches!(action, Action::Send(to, Message::Gossip(gossip))
            if *to == peer && gossip.leaving && !gossip.balancers.contains(&BALANCER))
    };
    assert!(actions.iter().any(reports_leaving), "{actions:?}");
}

#[test]
fn a_balancer_that_receives_few_announcements_is_not_ready() {
    let mut balancer = balancer(&[1, 2, 3, 4]);

    announce(&mut balancer, &[1], 3_300, 6_000);

    assert!(!balancer.is_ready(at(6_000)));
}

/// Guards against answers that are 600 ms late whenever a server is added at high load, because an
/// opening that found two busy agents waits for its copy, as it does after a power loss.
#[test]
fn an_opening_does_not_wait_for_a_copy_when_one_agent_is_added() {
    let mut balancer = balancer(&[1, 2]);
    balancer.handle(
        at(3_000),
        Event::Announced(host(9), announcement(1, State::Ready, Load::default())),
    );
    let head = opening(flow(1), 0);
    let first = forwarded(&balancer.handle(at(3_001), Event::Client(head)));
    let number = first.expect("it is placed").octets()[3];
    let second = forwarded(&balancer.handle(at(3_002), declined(number, head, Reason::Busy)));
    let number = second.expect("it is placed again").octets()[3];

    let third = forwarded(&balancer.handle(at(3_003), declined(number, head, Reason::Busy)));

    assert!(third.is_some());
}

/// Guards against repeated searches for a flow whose agent has answered. The entry that the client
/// waits for a decision stayed, so each review restarted the search.
#[test]
fn a_flow_that_was_found_is_not_searched_again() {
    let mut balancer = balancer(&[]);
    announce(&mut balancer, &[1, 2], 3_000, 3_000);
    let packet = data(flow(1), 1_001, 500);
    let first = forwarded(&balancer.handle(at(3_100), Event::Client(packet)));
    let (one, two) = if first == Some(host(1)) { (1, 2) } else { (2, 1) };
    balancer.handle(at(3_102), declined(one, packet, Reason::NotHeld));
    balancer.handle(at(3_104), declined(two, packet, Reason::NotHeld));
    let holds = Event::Holds { from: host(1), flow: flow(1), load: Load::default() };
    balancer.handle(at(3_106), holds);
    announce(&mut balancer, &[1, 2], 3_300, 3_600);

    let review = balancer.handle(at(3_800), Event::Tick);
    let next = balancer.handle(at(3_801), Event::Client(packet));

    assert!(!review.iter().any(|action| matches!(action, Action::Send(_, Message::Locate { .. }))));
    assert_eq!(forwarded(&next), Some(host(1)));
}

/// Guards against a reset of a flow whose server is alive, by a balancer that has just started. The
/// flow's agent does not know it yet, and the agents that do know it hold nothing; but another
/// balancer knows more agents.
#[test]
fn a_balancer_that_knows_fewer_agents_than_others_resets_nothing() {
    let mut balancer = balancer(&[1]);
    let peer = host(77);
    let gossip = gossip(1, &[peer], 2);
    balancer.handle(at(3_000), Event::Gossip(peer, gossip));
    let packet = data(flow(1), 1_001, 500);
    balancer.handle(at(3_001), Event::Client(packet));

    let actions = balancer.handle(at(3_002), declined(1, packet, Reason::NotHeld));

    assert!(!resets(&actions), "{actions:?}");
}

/// Guards against agents that remove all balancers and stop announcing themselves when the store is
/// down for longer than they keep balancers. An agent with the same view as the balancers got no
/// message from them.
#[test]
fn agents_that_know_all_balancers_are_sent_a_message_again() {
    let mut balancer = balancer(&[1]);
    let is_sent = |actions: Vec<Action>| {
        actions.iter().any(|action| matches!(action, Action::Send(_, Message::Gossip(_))))
    };
    let mut agreeing = announcement(9_000, State::Ready, Load::default());
    agreeing.balancers = nutmegkeel_core::l4::roster::digest([BALANCER].into_iter());
    balancer.handle(at(3_400), Event::Announced(host(1), agreeing.clone()));

    let soon = balancer.handle(at(4_300), Event::Announced(host(1), agreeing.clone()));
    let later = balancer.handle(at(4_600), Event::Announced(host(1), agreeing));

    assert!(!is_sent(soon));
    assert!(is_sent(later));
}

/// Guards against searches for flows whose clients have given up long ago, for as long as an agent
/// that may hold them does not answer.
#[test]
fn a_search_ends_when_its_client_has_given_up() {
    let mut balancer = balancer(&[1]);
    let packet = data(flow(1), 1_001, 500);
    balancer.handle(at(3_000), Event::Client(packet));
    balancer.handle(at(3_070), Event::Client(packet));
    announce(&mut balancer, &[1], 3_300, 13_200);

    let mut asked = 0;
    for millis in (13_250..15_500).step_by(50) {
        let announcement = announcement(millis + 100, State::Ready, Load::default());
        let mut actions = balancer.handle(at(millis), Event::Announced(host(1), announcement));
        actions.extend(balancer.handle(at(millis), Event::Tick));
        let asks = |action: &&Action| matches!(action, Action::Send(_, Message::Locate { .. }));
        asked += actions.iter().filter(asks).count();
    }

    assert_eq!(asked, 0);
}

/// Guards against a client of a lost flow that waits a second for the next search, because one
/// agent could not decide when it was asked but can a few ticks later.
#[test]
fn an_agent_that_did_not_answer_is_asked_again_soon() {
    let mut balancer = balancer(&[1]);
    let packet = data(flow(1), 1_001, 500);
    balancer.handle(at(3_000), Event::Client(packet));
    balancer.handle(at(3_100), Event::Client(packet));

    announce(&mut balancer, &[1], 3_200, 3_200);
    let asked = balancer.handle(at(3_301), Event::Tick);
    let absent = Event::Absent { from: host(1), flow: flow(1), load: Load::default() };
    let answered = balancer.handle(at(3_303), absent);

    assert!(asked.contains(&Action::Send(host(1), Message::Locate { flow: flow(1) })), "{asked:?}");
    assert!(answered.contains(&Action::Reset { flow: flow(1), seq: 500 }), "{answered:?}");
}

/// Guards against requests that wait for 200 to 600 ms after a restart. The balancer lacks a
/// configuration for a few milliseconds only, and clients send copies of dropped packets at growing
/// intervals.
#[test]
fn a_packet_is_kept_until_the_configuration_arrives() {
    let mut balancer = Balancer::open(at(0), identity(BALANCER, Policy::default()), &[]);
    announce(&mut balancer, &[1], 0, 0);
    let head = opening(flow(1), 0);

    let first = balancer.handle(at(10), Event::Client(head));
    balancer.handle(at(20), Event::Ordered(Orders::default()));
    let configured =
        balancer.handle(at(20), Event::Configured(table(1, &[(PORT, default_service())])));
    let again = balancer.handle(at(20), Event::Recalled(head));

    assert!(first.contains(&Action::Keep(head)), "{first:?}");
    assert!(configured.contains(&Action::Recall), "{configured:?}");
    assert_eq!(forwarded(&again), Some(host(1)));
}

/// Guards against a kept packet that is never answered because nothing changes any more.
#[test]
fn a_kept_opening_is_eventually_answered() {
    let mut balancer = Balancer::open(at(0), identity(BALANCER, Policy::default()), &[]);
    balancer.handle(at(0), Event::Ordered(Orders::default()));
    balancer.handle(at(0), Event::Configured(table(1, &[(PORT, default_service())])));
    let head = opening(flow(1), 0);
    let kept = balancer.handle(at(10), Event::Client(head));

    let recalled = balancer.handle(at(1_200), Event::Tick);
    let answered = balancer.handle(at(1_200), Event::Recalled(head));

    assert!(kept.contains(&Action::Keep(head)), "{kept:?}");
    assert!(recalled.contains(&Action::Recall), "{recalled:?}");
    assert!(resets(&answered), "{answered:?}");
}

/// Guards against openings that are held after a power loss until all hosts are back: they reach
/// the agents together, and none is answered in time.
#[test]
fn openings_are_placed_at_once_while_servers_come_back() {
    let mut balancer = Balancer::open(at(0), identity(BALANCER, Policy::default()), &[]);
    balancer.handle(at(0), Event::Ordered(Orders::default()));
    balancer.handle(at(0), Event::Configured(table(1, &[(PORT, default_service())])));
    balancer
        .handle(at(1), Event::Announced(host(1), announcement(1, State::Ready, Load::default())));

    let placed = (0..50)
        .filter(|port| {
            let actions = balancer.handle(at(2), Event::Client(opening(flow(*port), 0)));
            forwarded(&actions) == Some(host(1))
        })
        .count();
    balancer
        .handle(at(3), Event::Announced(host(2), announcement(1, State::Ready, Load::default())));
    let next: Vec<_> = (50..90)
        .map(|port| forwarded(&balancer.handle(at(4), Event::Client(opening(flow(port), 0)))))
        .collect();

    assert_eq!(placed, 50);
    assert!(next.iter().all(|agent| *agent == Some(host(2))), "{next:?}");
}

/// Guards against servers that idle for 300 ms after a mass restart, because balancers with slow
/// links wait for a large configuration that others have.
#[test]
fn a_balancer_without_a_configuration_relays_packets_to_one_that_has_it() {
    let mut balancer = Balancer::open(at(0), identity(BALANCER, Policy::default()), &[]);
    let head = opening(flow(1), 0);
    let gossip = |version| gossip(version, &[], 3);
    balancer.handle(at(1), Event::Gossip(host(8), gossip(0)));

    let alone = balancer.handle(at(10), Event::Client(head));
    let configured = balancer.handle(at(20), Event::Gossip(host(9), gossip(4)));
    let relayed = balancer.handle(at(20), Event::Recalled(head));

    assert!(alone.contains(&Action::Keep(head)), "{alone:?}");
    assert!(configured.contains(&Action::Recall), "{configured:?}");
    assert!(relayed.contains(&Action::Forward(host(9), Message::Relay)), "{relayed:?}");
}

/// Guards against two balancers without a configuration that relay a packet to each other forever.
#[test]
fn a_packet_is_relayed_once() {
    let mut balancer = Balancer::open(at(0), identity(BALANCER, Policy::default()), &[]);
    let gossip = gossip(4, &[], 3);
    balancer.handle(at(1), Event::Gossip(host(9), gossip));
    let head = opening(flow(1), 0);

    let actions = balancer.handle(at(10), Event::Relayed(head));

    assert_eq!(forwarded(&actions), None);
    assert!(actions.contains(&Action::Keep(head)), "{actions:?}");
}

/// Guards against open flows that hang for two seconds although their servers are alive. The whole
/// fleet restarted while the store was unreachable, and balancers kept every packet until a
/// configuration arrived.
#[test]
fn a_packet_of_an_open_flow_needs_no_configuration() {
    let mut balancer = Balancer::open(at(0), identity(BALANCER, Policy::default()), &[]);
    let head = data(flow(1), 1_001, 501);
    let early = balancer.handle(at(10), Event::Client(head));
    balancer
        .handle(at(20), Event::Announced(host(1), announcement(1, State::Ready, Load::default())));

    let recalled = balancer.handle(at(60), Event::Tick);
    let asked = balancer.handle(at(60), Event::Recalled(head));
    let load = Load::default();
    balancer.handle(at(62), Event::Holds { from: host(1), flow: flow(1), load });
    let carried = balancer.handle(at(70), Event::Client(head));

    assert!(early.contains(&Action::Keep(head)), "{early:?}");
    assert!(recalled.contains(&Action::Recall), "{recalled:?}");
    assert!(
        asked.contains(&Action::Forward(host(1), Message::Carry { known: false })),
        "{asked:?}"
    );
    assert!(
        carried.contains(&Action::Forward(host(1), Message::Carry { known: true })),
        "{carried:?}"
    );
}

/// Guards against a reset of a flow whose server is alive, by a balancer that has just started
/// without a configuration and does not know all agents yet.
#[test]
fn a_balancer_without_a_configuration_resets_no_flow() {
    let mut balancer = Balancer::open(at(0), identity(BALANCER, Policy::default()), &[]);
    announce(&mut balancer, &[1, 2], 0, 3_000);
    let head = data(flow(1), 1_001, 501);
    balancer.handle(at(3_000), Event::Client(head));
    balancer.handle(at(3_001), declined(1, head, Reason::NotHeld));

    let exhausted = balancer.handle(at(3_002), declined(2, head, Reason::NotHeld));
    let later = balancer.handle(at(3_100), Event::Tick);

    assert!(!resets(&exhausted) && !resets(&later), "{exhausted:?} {later:?}");
    assert!(exhausted.contains(&Action::Keep(head)), "{exhausted:?}");
}

/// Without the mechanism, packets of open flows wait for a configuration like openings.
#[test]
fn without_the_mechanism_packets_wait_for_a_configuration() {
    let policy = Policy::without([Mechanism::Unrouted]);
    let mut balancer = Balancer::open(at(0), identity(BALANCER, policy), &[]);
    announce(&mut balancer, &[1], 0, 0);
    let head = data(flow(1), 1_001, 501);

    let actions = balancer.handle(at(10), Event::Client(head));

    assert!(actions.contains(&Action::Keep(head)), "{actions:?}");
}
