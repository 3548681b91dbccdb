//! Tickets: a request runs at most once, and its reported outcome is correct.

use std::sync::Arc;
use std::time::{Duration, Instant};

use model::id;
use model::verdict::{Failure, Reason};
use quickcheck::{Gen, QuickCheck};
use steer::ownership::ticket::{Claim, Issuer, LIFE, Outcome, Table, Ticket};

fn table(origin: Instant) -> (Issuer, Table<u32>) {
    let issuer = Issuer::new(id::Node::new("node-1"), 7, origin);
    (issuer.clone(), Table::new(issuer))
}

#[test]
fn a_ticket_is_parsed_from_its_display_form() {
    let (issuer, _) = table(Instant::now());
    let ticket = issuer.issue(Instant::now(), u64::MAX);
    assert_eq!(Ticket::parse(&ticket.to_string()), Some(ticket));
    for text in ["", "1-2-3", "x-1-2-node", "1-2-3-", "1-2-3-a b"] {
        assert_eq!(Ticket::parse(text), None, "{text}");
    }
}

#[test]
fn only_the_issuing_incarnation_runs_a_ticket() {
    let now = Instant::now();
    let (issuer, mut tickets) = table(now);
    let ticket = issuer.issue(now, 1);
    let other = Ticket { incarnation: 8, ..ticket.clone() };
    assert_eq!(tickets.claim(&other, now), Claim::Unknown);
    let future = Ticket { issued_ms: 1_000, ..ticket.clone() };
    assert_eq!(tickets.claim(&future, now), Claim::Unknown);
    assert_eq!(tickets.claim(&ticket, now), Claim::Run);
    assert_eq!(tickets.claim(&ticket, now), Claim::Running);
    tickets.finish(&ticket, Outcome::Answered(Arc::new(5)));
    assert_eq!(tickets.claim(&ticket, now), Claim::Done(Outcome::Answered(Arc::new(5))));
    assert_eq!(tickets.claim(&ticket, now + LIFE), Claim::Unknown);
    assert!(tickets.is_empty(), "expired tickets are removed");
}

/// Claims and finishes tickets and advances the time in random order. A ticket may be run again only
/// after its previous run was proved not to have happened.
#[test]
fn no_ticket_runs_twice() {
    fn holds(steps: Vec<(u8, u8, u16)>) -> bool {
        let begin = Instant::now();
        let (issuer, mut tickets) = table(begin);
        let issued: Vec<Ticket> = (0..4).map(|nonce| issuer.issue(begin, nonce)).collect();
        let mut runs = [0_u32; 4];
        let mut now = begin;
        for (what, which, wait) in steps {
            let which = usize::from(which % 4);
            let ticket = &issued[which];
            match what % 5 {
                0 | 1 => runs[which] += u32::from(tickets.claim(ticket, now) == Claim::Run),
                2 => tickets.finish(ticket, Outcome::Answered(Arc::new(1))),
                // Only a claimed request can be proved not to have run.
                3 => match tickets.claim(ticket, now) {
                    Claim::Run => runs[which] += 1,
                    Claim::Running => {
                        let failure = Failure::not_run(Reason::Full);
                        tickets.finish(ticket, Outcome::Failed(failure));
                        runs[which] -= 1;
                    }
                    _ => {}
                },
                _ => now += Duration::from_millis(u64::from(wait)),
            }
            if runs.iter().any(|count| *count > 1) {
                return false;
            }
        }
        true
    }
    let property = holds as fn(Vec<(u8, u8, u16)>) -> bool;
    QuickCheck::new().rng(Gen::from_size_and_seed(200, 3)).tests(500).quickcheck(property);
}
