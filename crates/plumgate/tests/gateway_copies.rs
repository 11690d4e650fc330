//! Shared prompt parts that one backend server copies from another.

mod entries;

use std::time::{Duration, Instant};

use plumgate::gateway::servers::ServerChange;
use plumgate::gateway::{
    LimitObservation, LoadTable, PlacementOptions, PlacementRequest, PolicyPart, PolicySwitches,
    PromptPart, PromptShape, RequestRate, ServerAvailability, ServerEntry, ServerLimits,
    ServerPick, ServerState, StreamClass, WorkOutcome,
};
use plumgate::ids::{PoolId, ServerId};

use entries::server_entry;

/// A node before some servers.
struct CopyBench {
    table: LoadTable,
    pool: PoolId,
    now: Instant,
}

impl CopyBench {
    fn new(switches: PolicySwitches) -> Self {
        let options = PlacementOptions::new("hall-a").with_switches(switches);
        let mut bench = Self {
            table: LoadTable::new(options),
            pool: "models".into(),
            now: Instant::now(),
        };
        for id in ["a", "b", "c", "d", "e", "f", "g", "h"] {
            bench.put(server_entry(id));
        }
        bench
    }

    fn put(&mut self, entry: ServerEntry) {
        self.table.apply(&ServerChange::Changed(entry), self.now);
    }

    fn pick(&mut self, shape: &PromptShape, avoid: &[ServerId]) -> ServerPick {
        let pool = self.pool.clone();
        let request = request(&pool, shape, avoid);
        self.table.pick(&request, self.now).expect("a server")
    }

    /// A request goes to the server that is chosen for it, which reads it and answers.
    fn serve(&mut self, shape: &PromptShape) -> ServerPick {
        let pick = self.pick(shape, &[]);
        let pool = self.pool.clone();
        let request = request(&pool, shape, &[]);
        let mut ticket = self.table.start(&pick, &request, self.now);
        self.now += Duration::from_millis(300);
        self.table.record_first_byte(&mut ticket, self.now);
        self.table.finish(ticket, WorkOutcome::Answered, self.now);
        pick
    }

    /// Requests without shared parts begin at one server and are not answered yet.
    fn occupy(&mut self, server: &ServerId, count: u64) {
        let servers = ["a", "b", "c", "d", "e", "f", "g", "h"];
        let others: Vec<ServerId> = servers.map(ServerId::from).into();
        let others: Vec<ServerId> = others.into_iter().filter(|id| id != server).collect();
        let pool = self.pool.clone();
        for number in 0..count {
            let alone = PromptShape {
                parts: vec![PromptPart {
                    id: 10_000 + number,
                    tokens: 2_000,
                }],
                max_output_tokens: 100,
            };
            let pick = self.pick(&alone, &others);
            let request = request(&pool, &alone, &others);
            let _ticket = self.table.start(&pick, &request, self.now);
        }
    }
}

fn request<'a>(
    pool: &'a PoolId,
    shape: &'a PromptShape,
    avoid: &'a [ServerId],
) -> PlacementRequest<'a> {
    PlacementRequest {
        pool,
        prompt: Some(shape),
        urgency: 2,
        class: StreamClass::Batch,
        is_isolated: false,
        avoid,
    }
}

/// A prompt with a shared document and some tokens of its own.
fn shape(document: u64, shared_tokens: u32) -> PromptShape {
    let part = |id, tokens| PromptPart { id, tokens };
    PromptShape {
        parts: vec![part(document, shared_tokens), part(document + 1_000, 900)],
        max_output_tokens: 100,
    }
}

fn copy_from(pick: &ServerPick) -> Option<&ServerId> {
    pick.copy_from.as_ref().map(|server| &server.id)
}

// A caller waits for a quarter of a second while a server reads a document that another one keeps: its own
// home takes no more work, and the next server begins from nothing.
#[test]
fn server_that_is_no_home_copies_from_the_one_that_keeps_the_part() {
    let mut bench = CopyBench::new(PolicySwitches::new());
    let asked = shape(1, 13_300);
    let first = bench.serve(&asked).server.id;
    let again = bench.pick(&asked, &[]);
    assert_eq!(again.server.id, first);
    assert_eq!(copy_from(&again), None, "it keeps the document itself");
    let other = bench.pick(&asked, std::slice::from_ref(&first));
    assert_eq!(copy_from(&other), Some(&first));
    let unread = other.prefill_tokens;
    assert!(unread < 900 + 13_300 / 5, "{unread} tokens");
}

// Documents are read again one after another while servers are replaced: the one that leaves still serves,
// and still keeps them.
#[test]
fn next_home_copies_from_a_server_that_leaves() {
    let mut bench = CopyBench::new(PolicySwitches::new());
    let asked = shape(1, 13_300);
    let first = bench.serve(&asked).server;
    bench.put(ServerEntry {
        state: ServerState::Draining,
        ..first.clone()
    });
    let next = bench.pick(&asked, &[]);
    assert_ne!(next.server.id, first.id);
    assert_eq!(copy_from(&next), Some(&first.id));
    bench
        .table
        .apply(&ServerChange::Gone(first.id.clone()), bench.now);
    let alone = bench.pick(&asked, &[]);
    assert_eq!(copy_from(&alone), None, "nobody keeps it any more");
}

// What nobody has read yet, and what is read in a few milliseconds, is not looked for elsewhere.
#[test]
fn nothing_is_copied_that_nobody_keeps_or_that_is_small() {
    let mut bench = CopyBench::new(PolicySwitches::new());
    assert_eq!(copy_from(&bench.pick(&shape(1, 13_300), &[])), None);
    let small = shape(2, 300);
    let first = bench.serve(&small).server.id;
    assert_eq!(copy_from(&bench.pick(&small, &[first])), None);
}

#[test]
fn copies_can_be_switched_off() {
    let mut bench = CopyBench::new(PolicySwitches::new().without(PolicyPart::PartCopies));
    let asked = shape(1, 13_300);
    let first = bench.serve(&asked).server.id;
    let other = bench.pick(&asked, &[first]);
    assert_eq!(copy_from(&other), None);
    assert_eq!(other.prefill_tokens, 900 + 13_300);
}

// All callers of a fleet wait longer: as copying is cheap, documents move to whichever server has least to do,
// push others out of its memory, and nobody knows any more who keeps what. A home that is a little busier
// keeps its requests; one that is much busier gives them away, and the next one copies.
#[test]
fn home_keeps_its_requests_unless_it_is_much_busier() {
    let mut bench = CopyBench::new(PolicySwitches::new());
    let asked = shape(1, 13_300);
    let home = bench.serve(&asked).server.id;
    bench.occupy(&home, 3);
    assert_eq!(bench.pick(&asked, &[]).server.id, home, "0.2 s behind");
    bench.occupy(&home, 100);
    let other = bench.pick(&asked, &[]);
    assert_ne!(other.server.id, home, "seconds behind");
    assert_eq!(copy_from(&other), Some(&home));
}

/// A server in need was copied from by all others, beside the requests that it had asked to be kept from.
#[test]
fn limited_server_is_not_copied_from() {
    let mut bench = CopyBench::new(PolicySwitches::new());
    let prompt = shape(1, 13_300);
    let keeper = bench.serve(&prompt).server;
    let elsewhere = bench.pick(&prompt, std::slice::from_ref(&keeper.id));
    assert_eq!(copy_from(&elsewhere), Some(&keeper.id));
    let observation = LimitObservation {
        rate: RequestRate::new(1.0),
        sent: Duration::from_secs(1),
        seen: Duration::from_secs(1),
    };
    let mut limits = ServerLimits::new(false, 1);
    limits.record_answer(&keeper, observation);
    bench.table.set_limits(&limits);
    let elsewhere = bench.pick(&prompt, std::slice::from_ref(&keeper.id));
    assert_eq!(copy_from(&elsewhere), None);
}

/// A server that leaves or rests was copied from, for requests that others took.
#[test]
fn leaving_or_resting_server_is_not_copied_from() {
    for availability in [
        ServerAvailability {
            serves_for: Some(Duration::from_secs(1)),
            ..ServerAvailability::default()
        },
        ServerAvailability {
            rest_left: Some(Duration::from_secs(1)),
            ..ServerAvailability::default()
        },
    ] {
        let mut bench = CopyBench::new(PolicySwitches::new());
        let prompt = shape(1, 13_300);
        let keeper = bench.serve(&prompt).server;
        let elsewhere = bench.pick(&prompt, std::slice::from_ref(&keeper.id));
        assert_eq!(copy_from(&elsewhere), Some(&keeper.id));
        bench
            .table
            .set_availability(&keeper, availability, bench.now);
        let elsewhere = bench.pick(&prompt, std::slice::from_ref(&keeper.id));
        assert_ne!(copy_from(&elsewhere), Some(&keeper.id), "{availability:?}");
    }
}
