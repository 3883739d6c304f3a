//! Which balancers act for their failure domain towards the store, and how lists of flows reach it.

use std::net::Ipv4Addr;

use nutmegkeel_core::l4::agent;
use nutmegkeel_core::l4::balancer::{Action, Balancer, Event};
use nutmegkeel_core::l4::checkpoint::Checkpoint;
use nutmegkeel_core::l4::handover::{Handover, Step};
use nutmegkeel_core::l4::message::{Load, Message, Reason, Roster};
use nutmegkeel_core::l4::policy::Policy;
use nutmegkeel_core::l4::word::{COUNTED_MS, DELEGATES, Words, pause_after_change_ms};

use crate::fixture::{
    self, BALANCER, DOMAIN, PORT, agent, at, data, default_service, demand, flow, gossip,
    heartbeat, host, identity, open_flow, resets, send_data, table,
};

/// Pause between two ticks of the balancers here, in milliseconds.
const TICK_MS: usize = 500;

/// Agents of a failure domain in which lists are gathered.
const MANY: u64 = 20;

fn balancer(number: u8) -> Balancer {
    Balancer::open(at(0), identity(host(number), Policy::default()), &[])
}

/// Balancers 1 to `count` of one failure domain that have all heard of each other.
fn domain(count: u8) -> Vec<Balancer> {
    let mut balancers: Vec<_> = (1..=count).map(balancer).collect();
    exchange_gossip(&mut balancers, 0..=0, &[]);
    balancers
}

/// Lets each balancer speak to all others in each of these milliseconds, but for those that are silent.
fn exchange_gossip(
    balancers: &mut [Balancer],
    times: std::ops::RangeInclusive<u64>,
    silent: &[u8],
) {
    for millis in times.step_by(TICK_MS) {
        for speaker in numbers(balancers).filter(|speaker| !silent.contains(speaker)) {
            for listener in numbers(balancers).filter(|listener| *listener != speaker) {
                let word = Event::Roster(host(speaker), gossip(1, &[], 3));
                balancers[usize::from(listener) - 1].handle(at(millis), word);
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
fn a_balancer_that_hears_of_nobody_watches() {
    let balancer = balancer(1);

    assert!(balancer.watches(at(0)));
}

/// A change of the configuration is not seen for good: both balancers that watched died, and the others
/// go on waiting for their word.
#[test]
fn others_watch_when_both_watchers_fall_silent() {
    let mut balancers = domain(12);
    let dead = watchers(&balancers, 10);

    exchange_gossip(&mut balancers, 500..=4_000, &dead);
    let later = watchers(&balancers, 4_010);

    let alive: Vec<_> = later.iter().filter(|number| !dead.contains(number)).collect();
    assert_eq!(alive.len(), DELEGATES, "{dead:?} {later:?}");
}

/// Lets balancers speak by themselves, so that words reach whom they are sent to; those of `dead` say nothing.
fn speak(balancers: &mut [Balancer], times: std::ops::RangeInclusive<u64>, dead: &[u8]) {
    for millis in times.step_by(TICK_MS) {
        for speaker in numbers(balancers).filter(|speaker| !dead.contains(speaker)) {
            let sent = balancers[usize::from(speaker) - 1].handle(at(millis), Event::Tick);
            for (to, word) in rosters(&sent) {
                let listener = numbers(balancers).find(|number| host(*number) == to);
                let listener = listener.expect("a balancer is spoken to");
                balancers[usize::from(listener) - 1]
                    .handle(at(millis), Event::Roster(host(speaker), word));
            }
        }
    }
}

/// Guards against a failure domain of sixty balancers that nobody watches for: each hears each other one only
/// every four seconds, and both delegates have died.
#[test]
fn a_large_failure_domain_replaces_dead_delegates_within_three_seconds() {
    let mut balancers = domain(60);
    speak(&mut balancers, 500..=10_000, &[]);
    let dead = watchers(&balancers, 10_010);

    speak(&mut balancers, 10_500..=13_000, &dead);

    let later = watchers(&balancers, 13_010);
    let alive: Vec<_> = later.iter().filter(|number| !dead.contains(number)).collect();
    assert_eq!(dead.len(), DELEGATES);
    assert_eq!(alive.len(), DELEGATES, "{dead:?} {later:?}");
}

/// The store turns just the two hosts away that watch for their failure domain. They say so, and others
/// take over with their next look.
#[test]
fn others_watch_when_the_store_turns_the_watchers_away() {
    let mut balancers = domain(12);
    let refused = watchers(&balancers, 10);
    for number in &refused {
        let sent = balancers[usize::from(*number) - 1].handle(at(20), Event::Store(false));
        for (to, word) in rosters(&sent) {
            let index = (1..=12).position(|other| host(other) == to).expect("a balancer");
            balancers[index].handle(at(21), Event::Roster(host(*number), word));
        }
    }

    let later = watchers(&balancers, 30);

    assert_eq!(later.len(), DELEGATES);
    assert!(later.iter().all(|number| !refused.contains(number)), "{refused:?} {later:?}");
}

/// While the store is away for all, two of each failure domain go on asking, not all.
#[test]
fn two_go_on_asking_while_the_store_answers_nobody() {
    let mut words = Words::default();
    for number in 1..=12 {
        let word = Roster { reaches_store: false, ..gossip(0, &[], 0) };
        words.hear(at(0), host(number), &word);
    }

    let delegates = words.delegates(at(1), DOMAIN, Some((BALANCER, false)), COUNTED_MS);

    assert_eq!(delegates.len(), DELEGATES);
}

#[test]
fn balancers_of_other_failure_domains_are_no_delegates() {
    let mut words = Words::default();
    words.hear(at(0), host(1), &Roster { domain: "tema".into(), ..gossip(1, &[], 0) });

    let delegates = words.delegates(at(1), DOMAIN, None, COUNTED_MS);

    assert_eq!(delegates, Vec::<Ipv4Addr>::new());
}

/// A new configuration reaches those who do not watch with the next datagram, not with the next round.
#[test]
fn a_new_configuration_is_told_to_the_whole_failure_domain_at_once() {
    let mut balancers = domain(12);
    balancers[0].handle(at(10), Event::Configured(table(2, &[(PORT, default_service())])));

    let told =
        balancers[0].handle(at(20), Event::Configured(table(3, &[(PORT, default_service())])));

    assert_eq!(rosters(&told).iter().filter(|(_, word)| word.version == 3).count(), 11);
}

/// Clients of lost flows wait for seconds after a server was taken away: a balancer of another failure domain,
/// which speaks only each few seconds, had said that it hears of one agent more.
#[test]
fn an_old_count_of_agents_does_not_delay_resets() {
    let mut balancer = fixture::balancer(&[1, 2]);
    for now in (0..=3_000).step_by(500) {
        for number in 40..=80 {
            balancer.handle(at(now), Event::Roster(host(number), gossip(1, &[], 3)));
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

/// Answers with all addresses go to and fro for seconds after a balancer has died, because one side has
/// not dropped it yet: one answer for each view is enough, and another when the first may have been lost.
#[test]
fn views_that_differ_are_told_rarely() {
    let mut balancer = balancer(1);
    let differs = Roster { digest: 7, ..gossip(1, &[], 3) };

    let tellings: Vec<usize> = [0, 100, 500, 1_000, 4_100]
        .into_iter()
        .map(|now| balancer.handle(at(now), Event::Roster(host(2), differs.clone())))
        .map(|actions| {
            rosters(&actions).iter().filter(|(_, word)| !word.balancers.is_empty()).count()
        })
        .collect();

    assert_eq!(tellings, vec![1, 0, 0, 0, 1]);
}

fn rosters(actions: &[Action]) -> Vec<(Ipv4Addr, Roster)> {
    let roster = |action: &Action| match action {
        Action::Send(to, Message::Roster(word)) => Some((*to, word.clone())),
        _ => None,
    };
    actions.iter().filter_map(roster).collect()
}

fn list(number: u64) -> Checkpoint {
    Checkpoint { number, ..Checkpoint::default() }
}

#[test]
fn lists_are_gathered_for_one_write() {
    let mut balancer = balancer(1);
    for agent in 1..=9 {
        balancer.handle(at(u64::from(agent) * 50), Event::Deposited(host(agent), list(1)));
    }

    let early = balancer.handle(at(900), Event::Tick);
    let ripe = balancer.handle(at(1_100), Event::Tick);

    assert_eq!(committed(&early), None);
    assert_eq!(committed(&ripe).map(|lists| lists.len()), Some(9));
}

#[test]
fn a_full_transaction_does_not_wait() {
    let mut balancer = balancer(1);
    for agent in 1..=16 {
        balancer.handle(at(10), Event::Deposited(host(agent), list(1)));
    }

    let actions = balancer.handle(at(70), Event::Tick);

    assert_eq!(committed(&actions).map(|lists| lists.len()), Some(16));
}

/// An older list came late, by a way that was held up, and must not be written in the newer one's place.
#[test]
fn a_newer_list_that_waits_is_kept() {
    let mut balancer = balancer(1);
    balancer.handle(at(0), Event::Deposited(host(1), list(5)));
    balancer.handle(at(10), Event::Deposited(host(1), list(4)));

    let actions = balancer.handle(at(1_100), Event::Tick);

    assert_eq!(committed(&actions), Some(vec![(host(1), list(5))]));
}

#[test]
fn agents_hear_which_lists_are_written() {
    let mut balancer = balancer(1);

    let actions = balancer.handle(at(10), Event::Committed(vec![(host(1), 5)]));

    assert!(actions.contains(&Action::Send(host(1), Message::Written { number: 5 })));
}

fn committed(actions: &[Action]) -> Option<Vec<(Ipv4Addr, Checkpoint)>> {
    actions.iter().find_map(|action| match action {
        Action::Commit(lists) => Some(lists.clone()),
        _ => None,
    })
}

/// A list is lost because the balancer that had it died before it wrote. The agent turns to the second,
/// and when that is silent too writes by itself.
#[test]
fn a_list_finds_its_way_past_silent_balancers() {
    let mut handover = Handover::default();
    let delegates = [host(1), host(2)];
    handover.begin(list(1));

    let first = handover.step(at(0), &delegates, true, MANY);
    let waits = handover.step(at(1_900), &delegates, true, MANY);
    let second = handover.step(at(2_100), &delegates, true, MANY);
    let own = handover.step(at(4_200), &delegates, true, MANY);
    let done = handover.step(at(9_000), &delegates, true, MANY);

    assert_eq!(first, Some(Step::Deposit(host(1), list(1))));
    assert_eq!(waits, None);
    assert_eq!(second, Some(Step::Deposit(host(2), list(1))));
    assert_eq!(own, Some(Step::Write(list(1))));
    assert_eq!(done, None);
}

#[test]
fn a_confirmed_list_is_done() {
    let mut handover = Handover::default();
    handover.begin(list(1));
    handover.step(at(0), &[host(1)], true, MANY);

    handover.written(1);

    assert_eq!(handover.step(at(9_000), &[host(1)], true, MANY), None);
}

/// Lists of busy servers never reach the store: they do not fit into a datagram, and no balancer answers.
#[test]
fn a_list_too_long_for_a_datagram_is_written_at_once() {
    let flows = (0..=80).map(|port| (flow(port), 1)).collect();
    let list = Checkpoint { flows, ..list(1) };
    let mut handover = Handover::default();
    handover.begin(list.clone());

    let step = handover.step(at(0), &[host(1)], true, MANY);

    assert_eq!(step, Some(Step::Write(list)));
}

/// While the store is away every agent would go on trying by itself, and each try is priced.
#[test]
fn a_list_waits_while_the_store_answers_no_balancer() {
    let mut handover = Handover::default();
    handover.begin(list(1));
    handover.step(at(0), &[host(1)], true, MANY);

    let away = handover.step(at(3_000), &[host(1)], false, MANY);
    let back = handover.step(at(3_100), &[host(1)], true, MANY);

    assert_eq!(away, None);
    assert_eq!(back, Some(Step::Deposit(host(1), list(1))));
}

/// Lists of a host whose time of day was set back are never written: those of its predecessor have higher
/// numbers.
#[test]
fn a_list_gets_a_number_behind_the_one_that_is_there() {
    let mut handover = Handover::default();
    handover.begin(list(3));
    handover.step(at(0), &[host(1)], true, MANY);

    handover.written(8);

    assert_eq!(
        handover.step(at(10), &[host(1)], true, MANY),
        Some(Step::Deposit(host(1), list(9)))
    );
}

/// An agent that knows a balancer of its failure domain hands its list to it and makes no call of its own.
#[test]
fn an_agent_hands_its_list_to_a_balancer() {
    let mut agent = agent();
    agent.handle(at(0), agent::Event::Recovered(None));
    agent.handle(at(1), agent::Event::Heartbeat(heartbeat("a", 1)));
    agent.handle(at(3_000), agent::Event::Roster(BALANCER, gossip(1, &[], 20)));
    open_flow(&mut agent, 3_000, flow(1), demand(false));
    send_data(&mut agent, 3_002, flow(1), 1_001);

    let actions = agent.handle(at(3_100), agent::Event::Tick);

    let deposits = |action: &&agent::Action| matches!(action, agent::Action::Send(BALANCER, Message::Deposit(list)) if list.flows.len() == 1);
    assert_eq!(actions.iter().filter(deposits).count(), 1, "{actions:?}");
    assert!(!actions.iter().any(|action| matches!(action, agent::Action::Save(_))));
}

/// Clients of a small deployment wait in silence after a loss of power: their lists had been on the way to
/// a balancer that was killed, which would have written each of them alone anyway.
#[test]
fn lists_of_few_agents_are_written_by_themselves() {
    let delegates = [host(1), host(2)];
    let first = |agents| {
        let mut handover = Handover::default();
        handover.begin(list(1));
        handover.step(at(0), &delegates, true, agents)
    };

    assert_eq!(first(3), Some(Step::Write(list(1))));
    assert_eq!(first(5), Some(Step::Write(list(1))));
    assert_eq!(first(6), Some(Step::Deposit(host(1), list(1))));
}

#[test]
fn a_list_of_few_agents_waits_while_the_store_answers_nobody() {
    let mut handover = Handover::default();
    handover.begin(list(1));

    let away = handover.step(at(0), &[host(1)], false, 3);
    let back = handover.step(at(500), &[host(1)], true, 3);

    assert_eq!(away, None);
    assert_eq!(back, Some(Step::Write(list(1))));
}

/// An agent knows how many agents its failure domain has by what balancers of all domains say.
#[test]
fn an_agent_of_a_small_domain_writes_its_list() {
    let mut agent = agent();
    agent.handle(at(0), agent::Event::Recovered(None));
    agent.handle(at(1), agent::Event::Heartbeat(heartbeat("a", 1)));
    agent.handle(at(3_000), agent::Event::Roster(BALANCER, gossip(1, &[], 10)));
    let far = Roster { domain: "tema".into(), ..gossip(1, &[], 10) };
    agent.handle(at(3_000), agent::Event::Roster(host(9), far));
    open_flow(&mut agent, 3_000, flow(1), demand(false));
    send_data(&mut agent, 3_002, flow(1), 1_001);

    let actions = agent.handle(at(3_100), agent::Event::Tick);

    let saves = |action: &agent::Action| matches!(action, agent::Action::Save(_));
    assert!(actions.iter().any(saves), "{actions:?}");
}

/// A second change within a moment is in force half a second later in a whole failure domain: both
/// delegates heard of the first one together and paused for as long.
#[test]
fn two_delegates_that_heard_together_watch_again_in_turns() {
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
    assert!(calls <= 20, "no more calls than 2.5 a second each: {calls}");
}
