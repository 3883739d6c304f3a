//! Placement of new flows.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use nutmegkeel_core::load::Report;
use nutmegkeel_core::member::Instance;
use nutmegkeel_core::placement::{Candidate, Hop, Key, Pool, Rule};
use nutmegkeel_fake::fleet::address;

const RULE: Rule = Rule::LoadedRendezvous;

fn pool(agents: u16) -> Pool {
    let mut pool = Pool::default();
    for number in 0..agents {
        pool.insert(address(number), Candidate::new(Instance::new(1), 7, 2_000));
    }
    pool
}

fn placed(pool: &mut Pool, rule: Rule, flows: u64) -> BTreeMap<SocketAddr, usize> {
    let mut counts = BTreeMap::new();
    for flow in 0..flows {
        let key = Key::of(&[&flow.to_be_bytes()]);
        let choice = pool.place(key, rule, 1).expect("agents take flows");
        *counts.entry(choice.taker().address).or_default() += 1;
    }
    counts
}

#[test]
fn balancers_with_the_same_view_decide_alike() {
    let (mut one, mut other) = (pool(7), pool(7));

    for flow in 0..500_u64 {
        let key = Key::of(&[&flow.to_be_bytes()]);
        assert_eq!(one.place(key, RULE, 3), other.place(key, RULE, 3));
    }
}

#[test]
fn the_next_choice_is_another_agent() {
    let mut pool = pool(2);

    let choice = pool.place(Key::new(1), RULE, 1).expect("agents take flows");

    assert_ne!(Some(choice.first), choice.next);
}

#[test]
fn one_agent_that_leaves_moves_only_its_own_flows() {
    let mut whole = pool(7);
    let mut reduced = pool(7);
    reduced.remove(address(3));

    for flow in 0..1_000_u64 {
        let key = Key::of(&[&flow.to_be_bytes()]);
        let before = whole.place(key, Rule::Rendezvous, 1).expect("agents take flows").first;
        let after = reduced.place(key, Rule::Rendezvous, 1).expect("agents take flows").first;
        assert!(before == after || before.address == address(3));
    }
}

/// Guards against new flows on an agent whose host died and that is not declared dead yet: a
/// suspect must get no new flow while another agent is not suspect.
#[test]
fn a_suspect_gets_no_new_flow() {
    let mut pool = pool(3);
    let mut suspect = Candidate::new(Instance::new(1), 7, 2_000);
    suspect.suspect = true;
    pool.insert(address(1), suspect);

    let counts = placed(&mut pool, RULE, 1_000);

    assert_eq!(counts.get(&address(1)), None);
}

/// Guards against flows on suspect agents whose hashes rank first: with two of five agents suspect,
/// all flows must go to the other three.
#[test]
fn suspects_rank_behind_all_others_under_every_rule() {
    let mut pool = pool(5);
    for number in [1, 2] {
        let mut suspect = Candidate::new(Instance::new(1), 7, 2_000);
        suspect.suspect = true;
        pool.insert(address(number), suspect);
    }

    for rule in [Rule::Rendezvous, RULE] {
        let counts = placed(&mut pool, rule, 1_000);
        assert_eq!(
            counts.keys().copied().collect::<Vec<_>>(),
            [address(0), address(3), address(4)]
        );
    }
}

/// Guards against a handshake that stalls until a retransmission: the two packets of a large
/// opening reach two balancers whose reports differ slightly and that place them on different
/// agents. Within the tolerance of the class's target a flow must stay with its first candidate.
#[test]
fn small_load_differences_do_not_change_the_placement() {
    let (mut one, mut other) = (pool(7), pool(7));
    for number in 0..7 {
        let hop = Hop { address: address(number), instance: Instance::new(1) };
        let report = |connections| Report { connections, busy: 0, queued: 0 };
        one.apply_report(hop, report(1_000 + u32::from(number)));
        other.apply_report(hop, report(1_010 - u32::from(number)));
    }

    for flow in 0..50_u64 {
        let key = Key::of(&[&flow.to_be_bytes()]);
        assert_eq!(one.place(key, RULE, 1), other.place(key, RULE, 1));
    }
}

/// Guards against flows that are not placed when all agents are suspect. The connection of the
/// balancer itself is then the more likely fault.
#[test]
fn flows_are_placed_when_all_agents_are_suspect() {
    let mut pool = Pool::default();
    for number in 0..3 {
        let mut suspect = Candidate::new(Instance::new(1), 7, 2_000);
        suspect.suspect = true;
        pool.insert(address(number), suspect);
    }

    assert_eq!(placed(&mut pool, RULE, 300).len(), 3);
}

/// Guards against a thundering herd: an agent's last report shows no load, so every balancer places
/// its new flows there until the next report. A balancer's own placements must count as load.
#[test]
fn a_stale_report_of_no_load_does_not_attract_all_flows() {
    let mut pool = pool(7);
    for number in 1..7 {
        let hop = Hop { address: address(number), instance: Instance::new(1) };
        pool.apply_report(hop, Report { connections: 100, busy: 0, queued: 0 });
    }

    let counts = placed(&mut pool, RULE, 2_000);

    let on_idle = counts[&address(0)];
    assert!(on_idle < 2_000 * 2 / 7, "{on_idle} of 2000 flows went to the idle agent");
}

/// Guards against a load report of an earlier instance that is applied to its successor.
#[test]
fn a_report_of_an_earlier_instance_is_ignored() {
    let mut pool = pool(1);
    let later = Candidate::new(Instance::new(2), 7, 10);
    pool.insert(address(0), later.clone());

    let earlier = Hop { address: address(0), instance: Instance::new(1) };
    pool.apply_report(earlier, Report { connections: 10, busy: 7, queued: 0 });

    let mut fresh = Pool::default();
    fresh.insert(address(0), later);
    assert_eq!(format!("{pool:?}"), format!("{fresh:?}"));
}
