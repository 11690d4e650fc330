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

/// A node in front of eight servers.
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

    /// Sends a request to the server that is picked for it, which prefills the prompt and answers.
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

    /// Starts requests without shared parts at one server and leaves them in flight.
    fn occupy(&mut self, server: &ServerId, count: u64) {
        let servers = ["a", "b", "c", "d", "e", "f", "g", "h"];
        let others: Vec<ServerId> = servers.map(ServerId::from).into();
        let others: Vec<ServerId> = others.into_iter().filter(|id| id != server).collect();
        let pool = self.pool.clone();
        for number in 0..count {
            let unshared = PromptShape {
                parts: vec![PromptPart {
                    id: 10_000 + number,
                    tokens: 2_000,
                }],
                max_output_tokens: 100,
            };
            let pick = self.pick(&unshared, &others);
            let request = request(&pool, &unshared, &others);
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
        origin: None,
        output_hint: None,
    }
}

/// Returns a prompt with a shared document and 900 tokens of its own.
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

// Guards against a prefill of a quarter of a second for a document that another server has cached: the
// preferred server accepts no more work, and the next server has none of the prompt.
#[test]
fn server_without_the_part_copies_it_from_a_cache_holder() {
    let mut bench = CopyBench::new(PolicySwitches::new());
    let prompt = shape(1, 13_300);
    let first = bench.serve(&prompt).server.id;
    let again = bench.pick(&prompt, &[]);
    assert_eq!(again.server.id, first);
    assert_eq!(copy_from(&again), None, "its own cache holds the document");
    let other = bench.pick(&prompt, std::slice::from_ref(&first));
    assert_eq!(copy_from(&other), Some(&first));
    let prefill = other.prefill_tokens;
    assert!(prefill < 900 + 13_300 / 5, "{prefill} tokens");
}

// Guards against repeated prefills of documents while servers are replaced: a draining server still serves,
// and its cache can still be copied from.
#[test]
fn next_preferred_server_copies_from_a_draining_one() {
    let mut bench = CopyBench::new(PolicySwitches::new());
    let prompt = shape(1, 13_300);
    let first = bench.serve(&prompt).server;
    bench.put(ServerEntry {
        state: ServerState::Draining,
        ..first.clone()
    });
    let next = bench.pick(&prompt, &[]);
    assert_ne!(next.server.id, first.id);
    assert_eq!(copy_from(&next), Some(&first.id));
    bench
        .table
        .apply(&ServerChange::Removed(first.id.clone()), bench.now);
    let after_removal = bench.pick(&prompt, &[]);
    assert_eq!(
        copy_from(&after_removal),
        None,
        "no server has it in its cache any more"
    );
}

// A part that no server has prefilled, or that is prefilled in a few milliseconds, is not copied.
#[test]
fn uncached_and_small_parts_are_not_copied() {
    let mut bench = CopyBench::new(PolicySwitches::new());
    assert_eq!(copy_from(&bench.pick(&shape(1, 13_300), &[])), None);
    let small = shape(2, 300);
    let first = bench.serve(&small).server.id;
    assert_eq!(copy_from(&bench.pick(&small, &[first])), None);
}

#[test]
fn copies_can_be_switched_off() {
    let mut bench = CopyBench::new(PolicySwitches::new().without(PolicyPart::PartCopies));
    let prompt = shape(1, 13_300);
    let first = bench.serve(&prompt).server.id;
    let other = bench.pick(&prompt, &[first]);
    assert_eq!(copy_from(&other), None);
    assert_eq!(other.prefill_tokens, 900 + 13_300);
}

// Guards against longer waits of all callers: as copying is cheap, documents would move to whichever server
// has the least work, evict others from its cache, and leave it unknown which server holds what. A slightly
// busier preferred server keeps its requests; a much busier one loses them, and the next server copies.
#[test]
fn preferred_server_keeps_its_requests_unless_much_busier() {
    let mut bench = CopyBench::new(PolicySwitches::new());
    let prompt = shape(1, 13_300);
    let preferred = bench.serve(&prompt).server.id;
    bench.occupy(&preferred, 3);
    assert_eq!(
        bench.pick(&prompt, &[]).server.id,
        preferred,
        "a wait 0.2 s longer"
    );
    bench.occupy(&preferred, 100);
    let other = bench.pick(&prompt, &[]);
    assert_ne!(other.server.id, preferred, "a wait seconds longer");
    assert_eq!(copy_from(&other), Some(&preferred));
}

/// Guards against copying from a server that has set a limit on its request rate: copies by all other servers
/// would add to the load that it asked to reduce.
#[test]
fn limited_server_is_not_copied_from() {
    let mut bench = CopyBench::new(PolicySwitches::new());
    let prompt = shape(1, 13_300);
    let holder = bench.serve(&prompt).server;
    let elsewhere = bench.pick(&prompt, std::slice::from_ref(&holder.id));
    assert_eq!(copy_from(&elsewhere), Some(&holder.id));
    let observation = LimitObservation {
        rate: RequestRate::new(1.0),
        sent: Duration::from_secs(1),
        seen: Duration::from_secs(1),
    };
    let mut limits = ServerLimits::new(false, 1);
    limits.record_answer(&holder, observation);
    bench.table.set_limits(&limits);
    let elsewhere = bench.pick(&prompt, std::slice::from_ref(&holder.id));
    assert_eq!(copy_from(&elsewhere), None);
}

/// Guards against copying from a server that is leaving or resting, for requests that run on other servers.
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
        let holder = bench.serve(&prompt).server;
        let elsewhere = bench.pick(&prompt, std::slice::from_ref(&holder.id));
        assert_eq!(copy_from(&elsewhere), Some(&holder.id));
        bench
            .table
            .set_availability(&holder, availability, bench.now);
        let elsewhere = bench.pick(&prompt, std::slice::from_ref(&holder.id));
        assert_ne!(copy_from(&elsewhere), Some(&holder.id), "{availability:?}");
    }
}
