use nutmegkeel_core::l4::message::{Load, State};
use nutmegkeel_core::l4::placement::{Change, Pool};
use nutmegkeel_core::l4::route::Kind;

use crate::fixture::{DOMAIN, announcement, at, default_service, flow, host, load, need};

fn pool(loads: &[(u8, Load)]) -> Pool {
    let mut pool = Pool::default();
    for (number, load) in loads {
        pool.announced(at(0), host(*number), announcement(1, State::Ready, *load));
    }
    pool
}

#[test]
fn a_short_flow_goes_to_the_least_busy_agent() {
    let pool = pool(&[(1, load(4, 10)), (2, load(0, 12)), (3, load(4, 10))]);

    let chosen = pool.choose(at(1), &need(flow(1).key(), Kind::Once, &[]));

    assert_eq!(chosen.map(|choice| choice.agent), Some(host(2)));
}

#[test]
fn a_long_flow_goes_to_the_agent_with_the_fewest_flows() {
    let pool = pool(&[(1, load(0, 40)), (2, load(2, 10)), (3, load(0, 40))]);

    let chosen = pool.choose(at(1), &need(flow(1).key(), Kind::Idempotent, &[]));

    assert_eq!(chosen.map(|choice| choice.agent), Some(host(2)));
}

#[test]
fn flows_placed_since_the_last_report_count() {
    let mut pool = pool(&[(1, load(0, 0)), (2, load(2, 0))]);
    for _ in 0..5 {
        pool.placed(host(1));
    }

    let chosen = pool.choose(at(1), &need(flow(1).key(), Kind::Once, &[]));

    assert_eq!(chosen.map(|choice| choice.agent), Some(host(2)));
}

#[test]
fn a_download_stays_in_its_failure_domain() {
    let mut pool = pool(&[(1, load(3, 0))]);
    let mut remote = announcement(1, State::Ready, load(0, 0));
    remote.domain = "tema".into();
    pool.announced(at(0), host(2), remote);

    let chosen = pool.choose(at(1), &need(flow(1).key(), Kind::Download, &[]));

    assert_eq!(chosen.map(|choice| choice.agent), Some(host(1)));
}

#[test]
fn an_agent_that_is_late_or_closed_gets_no_flow() {
    let mut pool = pool(&[(1, load(0, 0)), (2, load(0, 0)), (3, load(0, 0))]);
    pool.announced(at(900), host(2), announcement(2, State::Closed, load(0, 0)));
    pool.announced(at(900), host(3), announcement(2, State::Ready, load(9, 99)));

    let chosen = pool.choose(at(1_000), &need(flow(1).key(), Kind::Once, &[]));

    assert_eq!(chosen.map(|choice| choice.agent), Some(host(3)));
}

#[test]
fn a_reordered_announcement_changes_nothing() {
    let mut pool = pool(&[]);
    pool.announced(at(0), host(1), announcement(5, State::Closed, load(0, 0)));

    let change = pool.announced(at(1), host(1), announcement(4, State::Ready, load(0, 0)));

    assert_eq!(change, Change::Stale);
    assert_eq!(pool.open_agents(at(1), &need(flow(1).key(), Kind::Once, &[])), 0);
}

#[test]
fn every_balancer_searches_in_the_same_order() {
    let one = pool(&[(1, load(0, 0)), (2, load(5, 0)), (3, load(0, 0))]);
    let two = pool(&[(3, load(9, 9)), (2, load(0, 0)), (1, load(4, 0))]);

    let key = flow(1).key();

    assert_eq!(
        one.search(key, &[default_service()], DOMAIN),
        two.search(key, &[default_service()], DOMAIN)
    );
}

#[test]
fn a_search_asks_every_agent_once() {
    let pool = pool(&[(1, load(0, 0)), (2, load(0, 0)), (3, load(0, 0))]);

    let mut order = pool.search(flow(1).key(), &[], DOMAIN);

    order.sort_unstable();
    assert_eq!(order, vec![host(1), host(2), host(3)]);
}

#[test]
fn a_balancer_that_sees_few_agents_is_cut_off() {
    let mut pool = pool(&[(1, load(0, 0)), (2, load(0, 0)), (3, load(0, 0))]);
    pool.announced(at(5_000), host(1), announcement(2, State::Ready, load(0, 0)));

    assert!(pool.is_cut_off(at(5_000)));
    assert!(!pool.is_conclusive(at(5_000)));
}

#[test]
fn a_failing_server_gets_no_flows_while_most_peers_are_healthy() {
    let mut pool = pool(&[(1, load(3, 9)), (2, load(3, 9))]);
    pool.announced(at(1), host(3), announcement(1, State::Failing, load(0, 0)));

    let chosen = pool.choose(at(1), &need(flow(1).key(), Kind::Once, &[]));

    assert_ne!(chosen.map(|choice| choice.agent), Some(host(3)));
}

#[test]
fn a_service_with_mostly_failing_servers_uses_all_of_them() {
    let mut pool = pool(&[(1, load(3, 9))]);
    for number in [2, 3] {
        pool.announced(at(1), host(number), announcement(1, State::Failing, load(0, 0)));
    }

    let chosen = pool.choose(at(1), &need(flow(1).key(), Kind::Once, &[]));

    assert_ne!(chosen.map(|choice| choice.agent), Some(host(1)));
}

/// A host's clock was set back before its agent restarted, so the new process has the smaller
/// incarnation. Treated as stale, its server would get no flow for a minute.
#[test]
fn an_agent_that_started_while_its_clock_was_set_back_is_accepted_within_a_second() {
    let mut pool = pool(&[(1, load(0, 0))]);
    let mut later = announcement(1, State::Ready, load(0, 0));
    later.incarnation = 9_000;
    pool.announced(at(0), host(1), later);
    let back = |number| {
        let mut announcement = announcement(number, State::Ready, load(0, 0));
        announcement.incarnation = 7_000;
        announcement
    };

    let changes: Vec<Change> =
        (1..=4).map(|number| pool.announced(at(300 * number), host(1), back(number))).collect();

    assert_eq!(changes, [Change::Stale, Change::Stale, Change::Appeared, Change::None]);
}

/// Datagrams of a process that has ended are delayed, its last announcement among them. The process
/// now running at its address must stay known.
#[test]
fn delayed_announcements_of_an_ended_process_are_stale() {
    let mut pool = Pool::default();
    let mut present = announcement(1, State::Ready, load(0, 0));
    present.incarnation = 9_000;
    pool.announced(at(0), host(1), present.clone());
    let mut late = announcement(41, State::Gone, load(0, 0));
    late.incarnation = 7_000;

    let first = pool.announced(at(100), host(1), late.clone());
    present.number = 2;
    pool.announced(at(300), host(1), present);
    late.number = 42;
    let second = pool.announced(at(900), host(1), late);

    assert_eq!((first, second), (Change::Stale, Change::Stale));
    assert_eq!(pool.open_agents(at(900), &need(flow(1).key(), Kind::Once, &[])), 1);
}

/// Openings may go to the first two agents of other failure domains. If a search asks the whole own
/// domain first, flows stall whenever packets move to another balancer.
#[test]
fn a_search_first_asks_the_agents_that_the_opening_was_offered_to() {
    let mut pool = Pool::default();
    for number in 0..40 {
        let mut announcement = announcement(1, State::Ready, load(0, 0));
        if number >= 20 {
            announcement.domain = "tema".into();
        }
        pool.announced(at(0), host(number), announcement);
    }

    let asked_before: Vec<usize> = (0..200)
        .map(|port| {
            let key = flow(port).key();
            let busy: Vec<_> = (0..20).map(host).collect();
            let placed = pool.choose(at(1), &need(key, Kind::Once, &busy));
            let order = pool.search(key, &[default_service()], DOMAIN);
            let agent = placed.expect("another domain accepts flows").agent;
            order.iter().position(|asked| *asked == agent).expect("all agents are asked")
        })
        .collect();

    assert!(asked_before.iter().all(|before| *before < 5), "{asked_before:?}");
}

/// Guards against a search that asks a whole failure domain for a flow that went to another one,
/// because the agents that it would usually go to were away when it opened.
#[test]
fn a_flow_opened_while_others_were_away_is_found_among_the_first_asked() {
    const LOCAL: u8 = 20;
    const AGENTS: u8 = 60;
    let announce = |pool: &mut Pool, agent: u8, number, state| {
        let mut announced = announcement(number, state, load(0, 0));
        if agent > LOCAL {
            announced.domain = "tema".into();
        }
        pool.announced(at(number), host(agent), announced);
    };
    let mut pool = Pool::default();
    (1..=AGENTS).for_each(|agent| announce(&mut pool, agent, 1, State::Ready));
    let key = flow(1).key();
    let first = pool.search_first(key, &[default_service()], DOMAIN);
    // The agents that the flow is usually offered to are away, and the own domain is full.
    for agent in 1..=AGENTS {
        let is_closed = first.contains(&host(agent)) || agent <= LOCAL;
        announce(&mut pool, agent, 2, if is_closed { State::Closed } else { State::Ready });
    }
    let chosen = pool.choose(at(3), &need(key, Kind::Once, &[])).expect("an agent is open");

    let asked = pool.search(key, &[default_service()], DOMAIN);

    let place = asked.iter().position(|agent| *agent == chosen.agent).expect("all are asked");
    assert_eq!(asked.len(), usize::from(AGENTS));
    assert!(place < 10, "{place}");
}
