//! Places at brittle servers that nodes lend each other.

mod entries;

use std::time::{Duration, Instant};

use entries::{node_entries, server_entry};
use plumgate::gateway::servers::ServerChange;
use plumgate::gateway::{
    BrittleTable, LoadExchange, LoadTable, PlaceMessage, PlaceRound, PlacementOptions,
    PlacementRequest, ServerEntry, StreamClass, WorkOutcome, WorkTicket,
};
use plumgate::ids::{NodeId, PoolId};

/// Slots of the only server: two places for each of two nodes.
const SLOTS: u32 = 4;
/// Time between two rounds.
const ROUND: Duration = Duration::from_millis(100);

struct PlaceNode {
    id: NodeId,
    table: LoadTable,
    tickets: Vec<WorkTicket>,
}

impl PlaceNode {
    /// Begins as many requests as there is room for, up to `count`; returns their number.
    fn begin(&mut self, count: usize, now: Instant) -> usize {
        let pool: PoolId = "models".into();
        let request = PlacementRequest {
            pool: &pool,
            prompt: None,
            urgency: 0,
            class: StreamClass::Interactive,
            is_isolated: false,
            avoid: &[],
            origin: None,
            output_hint: None,
        };
        for begun in 0..count {
            let Some(pick) = self.table.pick(&request, now) else {
                return begun;
            };
            self.tickets.push(self.table.start(&pick, &request, now));
        }
        count
    }

    fn end_all(&mut self, now: Instant) {
        for ticket in self.tickets.drain(..) {
            self.table.finish(ticket, WorkOutcome::Answered, now);
        }
    }

    fn run_round(&mut self, other: &NodeId, now: Instant) -> PlaceRound {
        self.table.run_place_round([other].into_iter(), now)
    }

    fn receive(
        &mut self,
        from: &NodeId,
        message: &PlaceMessage,
        now: Instant,
    ) -> Vec<PlaceMessage> {
        let answer = self.table.receive_place_message(from, message, now);
        answer.into_iter().collect()
    }
}

/// Returns two nodes before a brittle server.
fn nodes(now: Instant) -> (PlaceNode, PlaceNode) {
    let entries = node_entries(1, 2);
    let server = ServerEntry {
        slots: SLOTS,
        ..server_entry("server-0")
    };
    let mut nodes = entries.iter().map(|entry| {
        let mut exchange = LoadExchange::new(entry.clone());
        exchange.set_nodes(entries.clone());
        let mut table = LoadTable::new(PlacementOptions::new(entry.data_centre.clone()));
        table.apply(&ServerChange::Changed(server.clone()), now);
        table.set_brittle(&server.id, true, now);
        table.exchange_with(&mut exchange, now);
        PlaceNode {
            id: entry.node.clone(),
            table,
            tickets: Vec::new(),
        }
    });
    let (one, other) = (nodes.next(), nodes.next());
    (one.expect("a node"), other.expect("a node"))
}

/// Lets the borrower ask for a place in a round; returns the answer of the lender.
fn ask(borrower: &mut PlaceNode, lender: &mut PlaceNode, now: Instant) -> Vec<PlaceMessage> {
    let round = borrower.run_round(&lender.id, now);
    let answers = round.messages.iter();
    let answers = answers.flat_map(|(_, message)| lender.receive(&borrower.id, message, now));
    answers.collect()
}

/// Runs a round of the borrower, and delivers the lender's answers.
fn exchange(borrower: &mut PlaceNode, lender: &mut PlaceNode, now: Instant) {
    for answer in ask(borrower, lender, now) {
        borrower.receive(&lender.id, &answer, now);
    }
}

/// Guards against a place that is used by two nodes.
#[test]
fn lent_place_is_used_by_the_borrower_only() {
    let now = Instant::now();
    let (mut lender, mut borrower) = nodes(now);
    assert_eq!(borrower.begin(3, now), 2);
    exchange(&mut borrower, &mut lender, now);
    assert_eq!(borrower.begin(3, now), 1);
    assert_eq!(lender.begin(3, now), 1);
}

/// Guards against places that are lost to their nodes once they were lent.
#[test]
fn place_returns_once_its_borrower_is_idle() {
    let now = Instant::now();
    let (mut lender, mut borrower) = nodes(now);
    borrower.begin(3, now);
    exchange(&mut borrower, &mut lender, now);
    borrower.begin(3, now);
    borrower.end_all(now);
    let later = now + ROUND * 2;
    ask(&mut borrower, &mut lender, later);
    assert_eq!(lender.begin(3, later), 2);
    assert_eq!(borrower.begin(3, later), 2);
}

/// Guards against places that are lost with the node that borrowed them.
#[test]
fn place_of_a_silent_borrower_returns_to_its_lender() {
    let now = Instant::now();
    let (mut lender, mut borrower) = nodes(now);
    borrower.begin(3, now);
    assert_eq!(ask(&mut borrower, &mut lender, now).len(), 1);
    let before = now + Duration::from_millis(1_400);
    assert!(lender.run_round(&borrower.id, before).expired.is_empty());
    assert_eq!(lender.begin(3, before), 1);
    let after = now + Duration::from_millis(1_600);
    assert_eq!(lender.run_round(&borrower.id, after).expired.len(), 1);
    assert_eq!(lender.begin(3, after), 1);
}

/// Guards against a place that its lender takes back while its borrower uses it.
#[test]
fn reported_loan_does_not_expire() {
    let now = Instant::now();
    let (mut lender, mut borrower) = nodes(now);
    borrower.begin(3, now);
    exchange(&mut borrower, &mut lender, now);
    assert_eq!(borrower.begin(3, now), 1);
    for round in 1..50 {
        let at = now + ROUND * round;
        ask(&mut borrower, &mut lender, at);
        assert!(lender.run_round(&borrower.id, at).expired.is_empty());
    }
    assert_eq!(lender.begin(3, now + ROUND * 50), 1);
}

/// Guards against a place whose borrower no longer uses it although its lender confirms the loan.
#[test]
fn reported_loan_stays_with_its_borrower() {
    let now = Instant::now();
    let (mut lender, mut borrower) = nodes(now);
    borrower.begin(3, now);
    exchange(&mut borrower, &mut lender, now);
    assert_eq!(borrower.begin(3, now), 1);
    for round in 1..50 {
        exchange(&mut borrower, &mut lender, now + ROUND * round);
    }
    borrower.end_all(now + ROUND * 49);
    assert_eq!(borrower.begin(4, now + ROUND * 49), 3);
}

/// Guards against a place that two nodes use after its borrower was cut off from its lender for some time.
#[test]
fn expired_loan_is_recalled_from_its_borrower() {
    let now = Instant::now();
    let (mut lender, mut borrower) = nodes(now);
    borrower.begin(3, now);
    exchange(&mut borrower, &mut lender, now);
    assert_eq!(borrower.table.loan_counts(), (0, 1));
    let later = now + Duration::from_secs(2);
    lender.run_round(&borrower.id, later);
    assert_eq!(borrower.begin(3, later), 0, "not confirmed any more");
    exchange(&mut borrower, &mut lender, later);
    let begun = lender.begin(3, later) + borrower.begin(3, later);
    assert_eq!(begun, 2);
}

/// Guards against a borrower that uses a place after its lender has taken it back.
#[test]
fn late_loan_is_given_back() {
    let now = Instant::now();
    let (mut lender, mut borrower) = nodes(now);
    borrower.begin(3, now);
    let loans = ask(&mut borrower, &mut lender, now);
    let later = now + Duration::from_millis(600);
    for loan in &loans {
        borrower.receive(&lender.id, loan, later);
    }
    assert_eq!(borrower.begin(3, later), 0);
    ask(&mut borrower, &mut lender, later);
    assert_eq!(
        lender.table.loan_counts(),
        (1, 0),
        "the place that was asked for anew"
    );
}

/// Guards against a node that lends the place for which its own requests wait.
#[test]
fn node_with_waiting_requests_lends_nothing() {
    let now = Instant::now();
    let (mut lender, mut borrower) = nodes(now);
    borrower.begin(3, now);
    lender.begin(3, now);
    lender.end_all(now);
    assert!(ask(&mut borrower, &mut lender, now).is_empty());
}

/// Guards against two places lent for one request of which the answer was lost.
#[test]
fn repeated_request_gets_the_same_loan() {
    let now = Instant::now();
    let (mut lender, mut borrower) = nodes(now);
    borrower.begin(3, now);
    let round = borrower.run_round(&lender.id, now);
    let messages = round.messages.iter().map(|(_, message)| message);
    let mut requests = messages.filter(|message| matches!(message, PlaceMessage::Request { .. }));
    let request = requests.next().expect("a request");
    let first = lender.receive(&borrower.id, request, now);
    let second = lender.receive(&borrower.id, request, now);
    assert_eq!(first, second);
    assert_eq!(lender.table.loan_counts(), (1, 0));
}

/// Guards against a server that counts as brittle for good because it never answered this node.
#[test]
fn server_that_never_answered_is_sound_again_some_time_after_the_last_statement() {
    let now = Instant::now();
    let (mut node, _) = nodes(now);
    assert_eq!(node.begin(3, now), 2);
    let later = now + Duration::from_secs(120);
    let boot = Duration::from_secs(120);
    let nothing_stated = BrittleTable::default();
    node.table.set_all_brittle(&nothing_stated, boot, later);
    assert_eq!(node.begin(3, later), 3);
}
