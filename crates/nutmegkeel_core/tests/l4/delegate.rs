//! Balancers that act for their failure domain towards the store, and how lists of flows are saved.

use std::net::Ipv4Addr;

use nutmegkeel_core::l4::agent;
use nutmegkeel_core::l4::balancer::{Action, Balancer, Event};
use nutmegkeel_core::l4::checkpoint::Checkpoint;
use nutmegkeel_core::l4::handover::{Handover, Step};
use nutmegkeel_core::l4::message::{Gossip, Load, Message, Reason};
use nutmegkeel_core::l4::peer_state::{DELEGATES, States, VALID_MS, pause_after_change_ms};
use nutmegkeel_core::l4::policy::Policy;

use crate::fixture::{
    self, BALANCER, DOMAIN, PORT, agent, at, data, default_service, demand, flow, gossip,
    heartbeat, host, identity, open_flow, resets, send_data, table,
};

/// Pause between two ticks of the balancers, in milliseconds.
const TICK_MS: usize = 500;

/// Number of agents of a failure domain in which lists are collected.
const MANY: u64 = 20;

fn balancer(number: u8) -> Balancer {
    Balancer::open(at(0), identity(host(number), Policy::default()), &[])
}

/// Balancers 1 to `count` of one failure domain that have all received each other's state.
fn domain(count: u8) -> Vec<Balancer> {
    let mut balancers: Vec<_> = (1..=count).map(balancer).collect();
    exchange_gossip(&mut balancers, 0..=0, &[]);
    balancers
}

/// Delivers the state of each balancer, except silent ones, to all others at each of these times.
fn exchange_gossip(
    balancers: &mut [Balancer],
    times: std::ops::RangeInclusive<u64>,
    silent: &[u8],
) {
    for millis in times.step_by(TICK_MS) {
        for sender in numbers(balancers).filter(|sender| !silent.contains(sender)) {
            for receiver in numbers(balancers).filter(|receiver| *receiver != sender) {
                let gossip = Event::Gossip(host(sender), gossip(1, &[], 3));
                balancers[usize::from(receiver) - 1].handle(at(millis), gossip);
            }
        }
    }
}

fn numbers(balancers: &[Balancer]) -> std::ops::RangeInclusive<u8> {
    1..=u8::try_from(balancers.len()).expect("few balancers")
}

fn watchers(balancers: &[Balancer], now: u64) -> Vec<u8> {
    numbers(balancers)
        .filter(|number| balancers[usize::from(*number) - 1].watches(at(now)))
        .collect()
}

#[test]
fn two_balancers_of_a_failure_domain_watch() {
    let balancers = domain(12);

    assert_eq!(watchers(&balancers, 10).len(), DELEGATES);
}

#[test]
fn a_balancer_without_peers_watches() {
    let balancer = balancer(1);

    assert!(balancer.watches(at(0)));
}

/// Guards against changes of the configuration that are never seen, because both watching balancers
/// died and the others keep waiting for their messages.
#[test]
fn others_watch_when_both_watchers_become_silent() {
    let mut balancers = domain(12);
    let dead = watchers(&balancers, 10);

    exchange_gossip(&mut balancers, 500..=4_000, &dead);
    let later = watchers(&balancers, 4_010);

    let alive: Vec<_> = later.iter().filter(|number| !dead.contains(number)).collect();
    assert_eq!(alive.len(), DELEGATES, "{dead:?} {later:?}");
}

/// Lets balancers send by themselves and delivers their states. Those of `dead` send nothing.
fn run(balancers: &mut [Balancer], times: std::ops::RangeInclusive<u64>, dead: &[u8]) {
    for millis in times.step_by(TICK_MS) {
        for sender in numbers(balancers).filter(|sender| !dead.contains(sender)) {
            let sent = balancers[usize::from(sender) - 1].handle(at(millis), Event::Tick);
            for (to, gossip) in gossip_messages(&sent) {
                let receiver = numbers(balancers).find(|number| host(*number) == to);
                let receiver = receiver.expect("the receiver is a balancer");
                balancers[usize::from(receiver) - 1]
                    .handle(at(millis), Event::Gossip(host(sender), gossip));
            }
        }
    }
}

/// Guards against a failure domain of sixty balancers that none watches for: both delegates have
/// died, and each balancer receives the state of each other one only every four seconds.
#[test]
fn a_large_failure_domain_replaces_dead_delegates_within_three_seconds() {
    let mut balancers = domain(60);
    run(&mut balancers, 500..=10_000, &[]);
    let dead = watchers(&balancers, 10_010);

    run(&mut balancers, 10_500..=13_000, &dead);

    let later = watchers(&balancers, 13_010);
    let alive: Vec<_> = later.iter().filter(|number| !dead.contains(number)).collect();
    assert_eq!(dead.len(), DELEGATES);
    assert_eq!(alive.len(), DELEGATES, "{dead:?} {later:?}");
}

/// The store is unreachable for just the two watching hosts of a failure domain. They report it,
/// and others take over when they next check.
#[test]
fn others_watch_when_the_store_is_unreachable_for_the_watchers() {
    let mut balancers = domain(12);
    let cut_off = watchers(&balancers, 10);
    for number in &cut_off {
        let sent = balancers[usize::from(*number) - 1].handle(at(20), Event::StoreAnswered(false));
        for (to, gossip) in gossip_messages(&sent) {
            let index = (1..=12).position(|other| host(other) == to).expect("a balancer");
            balancers[index].handle(at(21), Event::Gossip(host(*number), gossip));
        }
    }

    let later = watchers(&balancers, 30);

    assert_eq!(later.len(), DELEGATES);
    assert!(later.iter().all(|number| !cut_off.contains(number)), "{cut_off:?} {later:?}");
}

/// While the store is unreachable for all, two balancers of each failure domain go on calling it,
/// not all.
#[test]
fn two_delegates_remain_while_the_store_is_unreachable_for_all() {
    let mut states = States::default();
    for number in 1..=12 {
        let gossip = Gossip { reaches_store: false, ..gossip(0, &[], 0) };
        states.apply(at(0), host(number), &gossip);
    }

    let delegates = states.delegates(at(1), DOMAIN, Some((BALANCER, false)), VALID_MS);

    assert_eq!(delegates.len(), DELEGATES);
}

#[test]
fn balancers_of_other_failure_domains_are_no_delegates() {
    let mut states = States::default();
    states.apply(at(0), host(1), &Gossip { domain: "tema".into(), ..gossip(1, &[], 0) });

    let delegates = states.delegates(at(1), DOMAIN, None, VALID_MS);

    assert_eq!(delegates, Vec::<Ipv4Addr>::new());
}

/// Balancers that do not watch learn of a new configuration with the next datagram, not with the
/// next round of gossip.
#[test]
fn a_new_configuration_is_sent_to_the_whole_failure_domain_at_once() {
    let mut balancers = domain(12);
    balancers[0].handle(at(10), Event::Configured(table(2, &[(PORT, default_service())])));

    let sent =
        balancers[0].handle(at(20), Event::Configured(table(3, &[(PORT, default_service())])));

    assert_eq!(gossip_messages(&sent).iter().filter(|(_, gossip)| gossip.version == 3).count(), 11);
}

/// Guards against clients of lost flows that wait for seconds after a server was removed. A
/// balancer of another failure domain sends only every few seconds and had reported one agent more.
#[test]
fn an_outdated_count_of_agents_does_not_delay_resets() {
    let mut balancer = fixture::balancer(&[1, 2]);
    for now in (0..=3_000).step_by(500) {
        for number in 40..=80 {
            balancer.handle(at(now), Event::Gossip(host(number), gossip(1, &[], 3)));
        }
        balancer.handle(at(now), Event::Tick);
    }
    fixture::announce(&mut balancer, &[1, 2], 3_300, 5_100);
    let head = data(flow(1), 1_001, 501);
    balancer.handle(at(5_100), Event::Client(head));
    let reason = Reason::NotHeld;
    let load = Load::default();
    balancer.handle(at(5_101), Event::Declined { from: host(1), head, reason, load });

    let actions = balancer.handle(at(5_102), Event::Declined { from: host(2), head, reason, load });

    assert!(resets(&actions), "{actions:?}");
}

/// Guards against balancers that exchange address lists for seconds after a balancer died, because
/// one side has not removed it yet. One list per view is enough, and another in case it was lost.
#[test]
fn differing_views_are_answered_rarely() {
    let mut balancer = balancer(1);
    let differs = Gossip { digest: 7, ..gossip(1, &[], 3) };

    let lists: Vec<usize> = [0, 100, 500, 1_000, 4_100]
        .into_iter()
        .map(|now| balancer.handle(at(now), Event::Gossip(host(2), differs.clone())))
        .map(|actions| {
            gossip_messages(&actions)
                .iter()
                .filter(|(_, gossip)| !gossip.balancers.is_empty())
                .count()
        })
        .collect();

    assert_eq!(lists, vec![1, 0, 0, 0, 1]);
}

fn gossip_messages(actions: &[Action]) -> Vec<(Ipv4Addr, Gossip)> {
    let gossip = |action: &Action| match action {
        Action::Send(to, Message::Gossip(gossip)) => Some((*to, gossip.clone())),
        _ => None,
    };
    actions.iter().filter_map(gossip).collect()
}

fn list(number: u64) -> Checkpoint {
    Checkpoint { number, ..Checkpoint::default() }
}

#[test]
fn lists_are_collected_for_one_write() {
    let mut balancer = balancer(1);
    for agent in 1..=9 {
        balancer.handle(at(u64::from(agent) * 50), Event::SaveFlows(host(agent), list(1)));
    }

    let early = balancer.handle(at(900), Event::Tick);
    let due = balancer.handle(at(1_100), Event::Tick);

    assert_eq!(committed(&early), None);
    assert_eq!(committed(&due).map(|lists| lists.len()), Some(9));
}

#[test]
fn a_full_transaction_does_not_wait() {
    let mut balancer = balancer(1);
    for agent in 1..=16 {
        balancer.handle(at(10), Event::SaveFlows(host(agent), list(1)));
    }

    let actions = balancer.handle(at(70), Event::Tick);

    assert_eq!(committed(&actions).map(|lists| lists.len()), Some(16));
}

/// Guards against an older list that arrives late and is saved in place of a newer one.
#[test]
fn a_newer_list_that_waits_is_kept() {
    let mut balancer = balancer(1);
    balancer.handle(at(0), Event::SaveFlows(host(1), list(5)));
    balancer.handle(at(10), Event::SaveFlows(host(1), list(4)));

    let actions = balancer.handle(at(1_100), Event::Tick);

    assert_eq!(committed(&actions), Some(vec![(host(1), list(5))]));
}

#[test]
fn agents_are_notified_of_saved_lists() {
    let mut balancer = balancer(1);

    let actions = balancer.handle(at(10), Event::Committed(vec![(host(1), 5)]));

    assert!(actions.contains(&Action::Send(host(1), Message::FlowsSaved { number: 5 })));
}

fn committed(actions: &[Action]) -> Option<Vec<(Ipv4Addr, Checkpoint)>> {
    actions.iter().find_map(|action| match action {
        Action::Commit(lists) => Some(lists.clone()),
        _ => None,
    })
}

/// Guards against a list that is lost because a balancer dies before it saves it. The agent sends
/// it to the second delegate, and saves it itself if that is silent too.
#[test]
fn a_list_is_saved_when_balancers_are_silent() {
    let mut handover = Handover::default();
    let delegates = [host(1), host(2)];
    handover.begin(list(1));

    let first = handover.step(at(0), &delegates, true, MANY);
    let waits = handover.step(at(1_900), &delegates, true, MANY);
    let second = handover.step(at(2_100), &delegates, true, MANY);
    let own = handover.step(at(4_200), &delegates, true, MANY);
    let done = handover.step(at(9_000), &delegates, true, MANY);

    assert_eq!(first, Some(Step::Delegate(host(1), list(1))));
    assert_eq!(waits, None);
    assert_eq!(second, Some(Step::Delegate(host(2), list(1))));
    assert_eq!(own, Some(Step::Write(list(1))));
    assert_eq!(done, None);
}

#[test]
fn a_confirmed_list_is_done() {
    let mut handover = Handover::default();
    handover.begin(list(1));
    handover.step(at(0), &[host(1)], true, MANY);

    handover.record_saved(1);

    assert_eq!(handover.step(at(9_000), &[host(1)], true, MANY), None);
}

/// Guards against lists of busy servers that are never saved: they do not fit into a datagram, so
/// no balancer answers.
#[test]
fn a_list_too_long_for_a_datagram_is_written_at_once() {
    let flows = (0..=80).map(|port| (flow(port), 1)).collect();
    let list = Checkpoint { flows, ..list(1) };
    let mut handover = Handover::default();
    handover.begin(list.clone());

    let step = handover.step(at(0), &[host(1)], true, MANY);

    assert_eq!(step, Some(Step::Write(list)));
}

/// Guards against billed calls of every agent that retries by itself while the store is
/// unreachable.
#[test]
fn a_list_waits_while_the_store_is_unreachable() {
    let mut handover = Handover::default();
    handover.begin(list(1));
    handover.step(at(0), &[host(1)], true, MANY);

    let while_unreachable = handover.step(at(3_000), &[host(1)], false, MANY);
    let when_reachable = handover.step(at(3_100), &[host(1)], true, MANY);

    assert_eq!(while_unreachable, None);
    assert_eq!(when_reachable, Some(Step::Delegate(host(1), list(1))));
}

/// Guards against lists that are never saved after the host's clock was set back, because the lists
/// of the previous process have higher numbers.
#[test]
fn a_list_gets_a_higher_number_than_the_saved_one() {
    let mut handover = Handover::default();
    handover.begin(list(3));
    handover.step(at(0), &[host(1)], true, MANY);

    handover.record_saved(8);

    assert_eq!(
        handover.step(at(10), &[host(1)], true, MANY),
        Some(Step::Delegate(host(1), list(9)))
    );
}

/// An agent that knows a balancer of its failure domain sends its list to it and makes no store
/// call of its own.
#[test]
fn an_agent_sends_its_list_to_a_balancer() {
    let mut agent = agent();
    agent.handle(at(0), agent::Event::Recovered(None));
    agent.handle(at(1), agent::Event::Heartbeat(heartbeat("a", 1)));
    agent.handle(at(3_000), agent::Event::Gossip(BALANCER, gossip(1, &[], 20)));
    open_flow(&mut agent, 3_000, flow(1), demand(false));
    send_data(&mut agent, 3_002, flow(1), 1_001);

    let actions = agent.handle(at(3_100), agent::Event::Tick);

    let is_save_request = |action: &&agent::Action| matches!(action, agent::Action::Send(BALANCER, Message::SaveFlows(list)) if list.flows.len() == 1);
    assert_eq!(actions.iter().filter(is_save_request).count(), 1, "{actions:?}");
    assert!(!actions.iter().any(|action| matches!(action, agent::Action::Save(_))));
}

/// Guards against clients of a small deployment that get no answer after a power loss: their lists
/// had been sent to a balancer that was killed, and that would have saved each of them alone
/// anyway.
#[test]
fn lists_of_few_agents_are_written_separately() {
    let delegates = [host(1), host(2)];
    let first = |agents| {
        let mut handover = Handover::default();
        handover.begin(list(1));
        handover.step(at(0), &delegates, true, agents)
    };

    assert_eq!(first(3), Some(Step::Write(list(1))));
    assert_eq!(first(5), Some(Step::Write(list(1))));
    assert_eq!(first(6), Some(Step::Delegate(host(1), list(1))));
}

#[test]
fn a_list_of_few_agents_waits_while_the_store_is_unreachable() {
    let mut handover = Handover::default();
    handover.begin(list(1));

    let while_unreachable = handover.step(at(0), &[host(1)], false, 3);
    let when_reachable = handover.step(at(500), &[host(1)], true, 3);

    assert_eq!(while_unreachable, None);
    assert_eq!(when_reachable, Some(Step::Write(list(1))));
}

/// An agent determines the number of agents in its failure domain from the states of balancers of
/// all domains.
#[test]
fn an_agent_of_a_small_domain_writes_its_list() {
    let mut agent = agent();
    agent.handle(at(0), agent::Event::Recovered(None));
    agent.handle(at(1), agent::Event::Heartbeat(heartbeat("a", 1)));
    agent.handle(at(3_000), agent::Event::Gossip(BALANCER, gossip(1, &[], 10)));
    let remote = Gossip { domain: "tema".into(), ..gossip(1, &[], 10) };
    agent.handle(at(3_000), agent::Event::Gossip(host(9), remote));
    open_flow(&mut agent, 3_000, flow(1), demand(false));
    send_data(&mut agent, 3_002, flow(1), 1_001);

    let actions = agent.handle(at(3_100), agent::Event::Tick);

    let saves = |action: &agent::Action| matches!(action, agent::Action::Save(_));
    assert!(actions.iter().any(saves), "{actions:?}");
}

/// Guards against a second change that takes effect half a second late in a whole failure domain,
/// because both delegates received the first one together and paused for the same time.
#[test]
fn delegates_that_receive_a_change_together_watch_in_turns() {
    let waited_ms = 5_000;
    let (mut first, mut second) = (Vec::new(), Vec::new());
    let watches = |rank, times: &mut Vec<u64>| {
        let mut now = pause_after_change_ms(rank, waited_ms);
        while now <= 4_000 {
            times.push(now);
            now += pause_after_change_ms(rank, 4);
        }
    };

    watches(0, &mut first);
    watches(1, &mut second);

    let calls = first.len() + second.len();
    let mut all: Vec<u64> = first.into_iter().chain(second).collect();
    all.sort_unstable();
    let longest = all.windows(2).map(|pair| pair[1] - pair[0]).max();
    assert_eq!(longest, Some(200), "{all:?}");
    assert!(calls <= 20, "at most 2.5 calls per second each: {calls}");
}
