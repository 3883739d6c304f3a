//! How the processes of a fleet that starts as a whole get to know each other.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::Ipv4Addr;

use nutmegkeel_core::l4::balancer::{Action, Balancer, Event, TICK_MS};
use nutmegkeel_core::l4::message::{Load, Message, Roster, State};
use nutmegkeel_core::l4::policy::Policy;

use crate::fixture::{BALANCER, announcement, at, gossip, host, identity};

/// Balancers that know their seeds only, and what they have sent.
struct Fleet {
    balancers: BTreeMap<Ipv4Addr, Balancer>,
    /// Addresses sent in lists, by sender.
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

    /// Lets all tick until `until_ms`; words arrive at once.
    fn run(&mut self, until_ms: u64) {
        let pause = usize::try_from(TICK_MS).expect("a short pause");
        for now in (0..=until_ms).step_by(pause) {
            let all: Vec<Ipv4Addr> = self.balancers.keys().copied().collect();
            for speaker in all {
                self.deliver(now, speaker);
            }
        }
    }

    fn deliver(&mut self, now: u64, speaker: Ipv4Addr) {
        let mut sent = VecDeque::from(self.handle(now, speaker, Event::Tick));
        while let Some((from, to, word)) = sent.pop_front() {
            sent.extend(self.handle(now, to, Event::Roster(from, word)));
        }
    }

    fn handle(
        &mut self,
        now: u64,
        by: Ipv4Addr,
        event: Event,
    ) -> Vec<(Ipv4Addr, Ipv4Addr, Roster)> {
        let balancer = self.balancers.get_mut(&by).expect("a balancer of the fleet");
        let words = words(balancer.handle(at(now), event));
        let listed: usize = words.iter().map(|(_, word)| word.balancers.len()).sum();
        *self.addresses.entry(by).or_default() += listed;
        words.into_iter().map(|(to, word)| (by, to, word)).collect()
    }

    fn least_known(&self) -> usize {
        self.balancers.values().map(|balancer| balancer.peers().len()).min().unwrap_or_default()
    }

    /// Lists of all addresses that a balancer sent at most.
    fn most_lists(&self) -> usize {
        self.addresses.values().max().copied().unwrap_or_default().div_ceil(self.balancers.len())
    }
}

fn words(actions: Vec<Action>) -> Vec<(Ipv4Addr, Roster)> {
    let word = |action| match action {
        Action::Send(to, Message::Roster(word)) => Some((to, word)),
        _ => None,
    };
    actions.into_iter().filter_map(word).collect()
}

/// Guards against a start that fills the links with addresses: a list for each pair grows with the square of the
/// fleet.
#[test]
fn balancers_that_start_together_know_each_other_after_few_lists() {
    for count in [30, 60, 120] {
        let mut fleet = Fleet::open(count);

        fleet.run(2_000);

        assert_eq!(fleet.least_known(), usize::from(count) - 1, "of {count}");
        assert!(fleet.most_lists() <= 24, "{} lists, {count} balancers", fleet.most_lists());
    }
}

/// Guards against a loss of power after which every balancer hands all addresses to every agent: the links carry
/// lists while clients wait.
#[test]
fn agents_that_start_together_are_all_answered_but_few_with_lists() {
    let mut balancer = Balancer::open(at(0), identity(BALANCER, Policy::default()), &[]);
    for peer in 1..=60 {
        balancer.handle(at(0), Event::Roster(host(peer), gossip(1, &[], 0)));
    }

    let mut answered = BTreeSet::new();
    let mut lists = 0;
    for agent in 61..=200 {
        let first = Event::Announced(host(agent), announcement(1, State::Ready, Load::default()));
        let words = words(balancer.handle(at(10), first));
        answered.extend(words.iter().filter(|(to, _)| *to == host(agent)).map(|(to, _)| *to));
        lists += words.iter().filter(|(_, word)| !word.balancers.is_empty()).count();
    }

    assert_eq!(answered.len(), 140);
    assert!((1..=20).contains(&lists), "{lists} lists");
}

/// Guards against balancers that start together and find each other late: the first word of one came before the
/// other listened.
#[test]
fn a_young_balancer_speaks_again_to_those_that_have_not_answered() {
    let mut balancer =
        Balancer::open(at(0), identity(BALANCER, Policy::default()), &[host(1), host(2)]);
    balancer.handle(at(0), Event::Tick);
    balancer.handle(at(10), Event::Roster(host(1), gossip(1, &[], 0)));

    let told: Vec<Ipv4Addr> = (50..=3_000)
        .step_by(50)
        .flat_map(|now| words(balancer.handle(at(now), Event::Store(true))))
        .map(|(to, _)| to)
        .collect();

    assert!(told.iter().all(|to| *to == host(2)), "{told:?}");
    assert!((10..=21).contains(&told.len()), "{} words", told.len());
}

/// Guards against an agent that never hears of a new balancer, whose searches then miss it: agents speak in one order
/// all the time, balancers come and go, and those who speak first took all the lists.
#[test]
fn no_agent_is_left_without_a_list_because_others_speak_before_it() {
    let open = |number| Balancer::open(at(0), identity(host(number), Policy::default()), &[]);
    let mut balancers: Vec<Balancer> = (1..=20).map(open).collect();
    let mut served: BTreeMap<Ipv4Addr, u64> = BTreeMap::new();
    let mut longest_ms = 0;

    for (number, now) in (0_u8..40).zip((0..).step_by(300)) {
        for balancer in &mut balancers {
            for peer in (1..=20).chain([100 + number]) {
                balancer.handle(at(now), Event::Roster(host(peer), gossip(1, &[], 0)));
            }
        }
        for agent in 21..=80 {
            let spoken = announcement(1 + now / 300, State::Ready, Load::default());
            for balancer in &mut balancers {
                let event = Event::Announced(host(agent), spoken.clone());
                if gets_list(&words(balancer.handle(at(now), event)), host(agent)) {
                    served.insert(host(agent), now);
                }
            }
            let since = served.get(&host(agent)).copied().unwrap_or_default();
            longest_ms = longest_ms.max(now - since);
        }
    }

    assert!(longest_ms <= 1_500, "{longest_ms} ms without a list");
}

fn gets_list(words: &[(Ipv4Addr, Roster)], process: Ipv4Addr) -> bool {
    words.iter().any(|(to, word)| *to == process && !word.balancers.is_empty())
}
