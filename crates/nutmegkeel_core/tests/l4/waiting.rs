use nutmegkeel_core::l4::flow::Packet;
use nutmegkeel_core::l4::waiting::{LONGEST_MS, Queue, Waiting};

use crate::fixture::{BALANCER, at, flow};

fn opening(port: u16, since_ms: u64) -> Waiting {
    Waiting {
        flow: flow(port),
        seq: 1_000,
        from: BALANCER,
        since: at(since_ms),
        packet: Packet::default(),
    }
}

#[test]
fn a_short_wait_is_first_come_first_served() {
    let mut queue = Queue::default();
    queue.push(opening(1, 0));
    queue.push(opening(2, 20));

    let next = queue.pop(at(50));

    assert_eq!(next.map(|opening| opening.flow), Some(flow(1)));
}

/// After a loss of power every answer is late, though the servers could answer most clients in time:
/// each slot goes to whoever has waited longest, and has no time left.
#[test]
fn after_a_long_wait_the_newest_goes_first() {
    let mut queue = Queue::default();
    queue.push(opening(1, 0));
    queue.push(opening(2, 400));

    let next = queue.pop(at(410));

    assert_eq!(next.map(|opening| opening.flow), Some(flow(2)));
}

#[test]
fn an_opening_that_came_late_from_elsewhere_does_not_start_anew() {
    let mut queue = Queue::default();
    queue.push(opening(1, 1_000));
    queue.push(opening(2, 0));

    let late = queue.take_late(at(LONGEST_MS + 1));

    assert_eq!(late.iter().map(|opening| opening.flow).collect::<Vec<_>>(), vec![flow(2)]);
    assert_eq!(queue.len(), 1);
}

/// Replays the return of all clients after a loss of power: 300 openings at once, then 45 a second,
/// at a server that takes 7 requests at a time for 90 ms each. An answer within 250 ms is in time.
/// First come, first served answers none of the 90 that come later in time; this rule must answer
/// nearly all of them.
#[test]
fn a_burst_does_not_make_those_late_who_come_after_it() {
    let mut queue = Queue::default();
    for port in 0..300 {
        queue.push(opening(port, 0));
    }
    let mut free_at = [0_u64; 7];
    let (mut later, mut in_time) = (0, 0);
    for now in 0..2_000_u64 {
        if now % 22 == 21 {
            later += 1;
            queue.push(opening(1_000 + later, now));
        }
        queue.take_late(at(now));
        for slot in free_at.iter_mut().filter(|slot| **slot <= now) {
            let Some(next) = queue.pop(at(now)) else { break };
            *slot = now + 90;
            let is_later = next.flow.client.port() > 1_000;
            in_time += usize::from(is_later && *slot <= next.since.millis() + 250);
        }
    }

    assert_eq!(later, 90);
    assert!(in_time >= 88, "{in_time} of {later} in time");
}
