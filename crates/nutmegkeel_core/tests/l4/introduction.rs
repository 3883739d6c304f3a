//! How the processes of a fleet that starts as a whole discover each other.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::Ipv4Addr;

use nutmegkeel_core::l4::balancer::{Action, Balancer, Event, TICK_MS};
use nutmegkeel_core::l4::message::{Gossip, Load, Message, State};
use nutmegkeel_core::l4::policy::Policy;

use crate::fixture::{BALANCER, announcement, at, gossip, host, identity};

/// Balancers that know only their seeds, and what they have sent.
struct Fleet {
    balancers: BTreeMap<Ipv4Addr, Balancer>,
    /// Number of addresses sent in lists, by sender.
    addresses: BTreeMap<Ipv4Addr, usize>,
}

impl Fleet {
    fn open(count: u8) -> Self {
        let seeds = [host(1), host(2), host(3)];
        let open = |number| {
            let identity = identity(host(number), Policy::default());
            (host(number), Balancer::open(at(0), identity, &seeds))
        };
        Self { balancers: (1..=count).map(open).collect(), addresses: BTreeMap::new() }
    }

    /// Lets all balancers tick until `until_ms`; messages arrive at once.
    fn run(&mut self, until_ms: u64) {
        let pause = usize::try_from(TICK_MS).expect("a short pause");
        for now in (0..=until_ms).step_by(pause) {
            let all: Vec<Ipv4Addr> = self.balancers.keys().copied().collect();
            for sender in all {
                self.deliver(now, sender);
            }
        }
    }

    fn deliver(&mut self, now: u64, sender: Ipv4Addr) {
        let mut sent = VecDeque::from(self.handle(now, sender, Event::Tick));
        while let Some((from, to, gossip)) = sent.pop_front() {
            sent.extend(self.handle(now, to, Event::Gossip(from, gossip)));
        }
    }

    fn handle(
        &mut self,
        now: u64,
        by: Ipv4Addr,
        event: Event,
    ) -> Vec<(Ipv4Addr, Ipv4Addr, Gossip)> {
        let balancer = self.balancers.get_mut(&by).expect("a balancer of the fleet");
        let gossip_messages = gossip_messages(balancer.handle(at(now), event));
        let listed: usize = gossip_messages.iter().map(|(_, gossip)| gossip.balancers.len()).sum();
        *self.addresses.entry(by).or_default() += listed;
        gossip_messages.into_iter().map(|(to, gossip)| (by, to, gossip)).collect()
    }

    fn least_known(&self) -> usize {
        self.balancers.values().map(|balancer| balancer.peers().len()).min().unwrap_or_default()
    }

    /// Largest number of lists of all addresses that one balancer sent.
    fn most_lists(&self) -> usize {
        self.addresses.values().max().copied().unwrap_or_default().div_ceil(self.balancers.len())
    }
}

fn gossip_messages(actions: Vec<Action>) -> Vec<(Ipv4Addr, Gossip)> {
    let gossip = |action| match action {
        Action::Send(to, Message::Gossip(gossip)) => Some((to, gossip)),
        _ => None,
    };
    actions.into_iter().filter_map(gossip).collect()
}

/// Guards against address lists that fill the links when a fleet starts: one list per pair grows
/// with the square of the fleet's size.
#[test]
fn balancers_that_start_together_know_each_other_after_few_lists() {
    for count in [30, 60, 120] {
        let mut fleet = Fleet::open(count);

        fleet.run(2_000);

        assert_eq!(fleet.least_known(), usize::from(count) - 1, "of {count}");
        assert!(fleet.most_lists() <= 24, "{} lists, {count} balancers", fleet.most_lists());
    }
}

/// Guards against a power loss after which every balancer sends all addresses to every agent and
/// fills the links while clients wait.
#[test]
fn agents_that_start_together_are_all_answered_but_few_with_lists() {
    let mut balancer = Balancer::open(at(0), identity(BALANCER, Policy::default()), &[]);
    for peer in 1..=60 {
        balancer.handle(at(0), Event::Gossip(host(peer), gossip(1, &[], 0)));
    }

    let mut answered = BTreeSet::new();
    let mut lists = 0;
    for agent in 61..=200 {
        let first = Event::Announced(host(agent), announcement(1, State::Ready, Load::default()));
        let gossip_messages = gossip_messages(balancer.handle(at(10), first));
        answered
            .extend(gossip_messages.iter().filter(|(to, _)| *to == host(agent)).map(|(to, _)| *to));
        lists += gossip_messages.iter().filter(|(_, gossip)| !gossip.balancers.is_empty()).count();
    }

    assert_eq!(answered.len(), 140);
    assert!((1..=20).contains(&lists), "{lists} lists");
}

/// Guards against balancers that start together and discover each other late, because one sent its
/// first message before the other listened.
#[test]
fn a_recently_started_balancer_sends_again_to_peers_that_have_not_answered() {
    let mut balancer =
        Balancer::open(at(0), identity(BALANCER, Policy::default()), &[host(1), host(2)]);
    balancer.handle(at(0), Event::Tick);
    balancer.handle(at(10), Event::Gossip(host(1), gossip(1, &[], 0)));

    let receivers: Vec<Ipv4Addr> = (50..=3_000)
        .step_by(50)
        .flat_map(|now| gossip_messages(balancer.handle(at(now), Event::StoreAnswered(true))))
        .map(|(to, _)| to)
        .collect();

    assert!(receivers.iter().all(|to| *to == host(2)), "{receivers:?}");
    assert!((10..=21).contains(&receivers.len()), "{} messages", receivers.len());
}

/// Guards against an agent that never learns of a new balancer, so that searches of that balancer
/// miss it: agents always announce themselves in the same order, and those that do so first got all
/// the lists.
#[test]
fn every_agent_gets_a_list_although_others_announce_themselves_first() {
    let open = |number| Balancer::open(at(0), identity(host(number), Policy::default()), &[]);
    let mut balancers: Vec<Balancer> = (1..=20).map(open).collect();
    let mut last_list: BTreeMap<Ipv4Addr, u64> = BTreeMap::new();
    let mut longest_ms = 0;

    for (number, now) in (0_u8..40).zip((0..).step_by(300)) {
        for balancer in &mut balancers {
            for peer in (1..=20).chain([100 + number]) {
                balancer.handle(at(now), Event::Gossip(host(peer), gossip(1, &[], 0)));
            }
        }
        for agent in 21..=80 {
            let announcement = announcement(1 + now / 300, State::Ready, Load::default());
            for balancer in &mut balancers {
                let event = Event::Announced(host(agent), announcement.clone());
                if gets_list(&gossip_messages(balancer.handle(at(now), event)), host(agent)) {
                    last_list.insert(host(agent), now);
                }
            }
            let since = last_list.get(&host(agent)).copied().unwrap_or_default();
            longest_ms = longest_ms.max(now - since);
        }
    }

    assert!(longest_ms <= 1_500, "{longest_ms} ms without a list");
}

fn gets_list(gossip_messages: &[(Ipv4Addr, Gossip)], process: Ipv4Addr) -> bool {
    gossip_messages.iter().any(|(to, gossip)| *to == process && !gossip.balancers.is_empty())
}
