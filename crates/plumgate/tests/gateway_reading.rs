//! Waits that are predicted by the speed at which engines were seen to read.

mod entries;

use std::time::{Duration, Instant};

use entries::server_entry;
use plumgate::gateway::servers::ServerChange;
use plumgate::gateway::{
    LoadTable, PlacementOptions, PlacementRequest, PolicyPart, PolicySwitches, PromptPart,
    PromptShape, ServerPick, StreamClass, WorkOutcome,
};
use plumgate::ids::PoolId;

/// Tokens of the prompts of these tests.
const TOKENS: u32 = 33_600;

fn prompt() -> PromptShape {
    PromptShape {
        parts: vec![PromptPart {
            id: 1,
            tokens: TOKENS,
        }],
        max_output_tokens: 100,
    }
}

/// A node before one server.
struct ReadingBench {
    table: LoadTable,
    pool: PoolId,
    prompt: PromptShape,
    now: Instant,
}

impl ReadingBench {
    fn new(switches: PolicySwitches) -> Self {
        let now = Instant::now();
        let options = PlacementOptions::new("hall-a").with_switches(switches);
        let mut table = LoadTable::new(options);
        table.apply(&ServerChange::Changed(server_entry("s1")), now);
        Self {
            table,
            pool: "models".into(),
            prompt: prompt(),
            now,
        }
    }

    fn pick(&mut self) -> ServerPick {
        let request = request(&self.pool, &self.prompt);
        self.table.pick(&request, self.now).expect("a server")
    }

    /// A request whose answer begins after some time.
    fn serve(&mut self, took: Duration) {
        let pick = self.pick();
        let request = request(&self.pool, &self.prompt);
        let mut ticket = self.table.start(&pick, &request, self.now);
        self.now += took;
        self.table.record_first_byte(&mut ticket, self.now);
        self.table.finish(ticket, WorkOutcome::Answered, self.now);
    }
}

fn request<'a>(pool: &'a PoolId, prompt: &'a PromptShape) -> PlacementRequest<'a> {
    PlacementRequest {
        pool,
        prompt: Some(prompt),
        urgency: 0,
        class: StreamClass::Interactive,
        is_isolated: false,
        avoid: &[],
    }
}

// Callers wait twice as long as was predicted, and those who should have been refused come late: the
// engines read more slowly than expected. What is predicted must follow what was seen, within a second
// or two of a burst, and go back when it is over.
#[test]
fn waits_are_predicted_as_they_were_seen() {
    let mut bench = ReadingBench::new(PolicySwitches::new());
    let before = bench.pick().wait;
    assert_eq!(before.as_millis(), 800, "42,000 tokens a second");
    for _ in 0..20 {
        bench.serve(Duration::from_millis(1_600));
    }
    let busy = bench.pick().wait;
    assert!((1_300..=1_600).contains(&busy.as_millis()), "{busy:?}");
    bench.now += Duration::from_secs(40);
    let after = bench.pick().wait;
    assert!((780..=840).contains(&after.as_millis()), "{after:?}");
}

#[test]
fn one_odd_answer_moves_the_prediction_little() {
    let mut bench = ReadingBench::new(PolicySwitches::new());
    bench.serve(Duration::from_secs(4));
    let wait = bench.pick().wait;
    assert!(wait < Duration::from_millis(1_800), "{wait:?}");
    for _ in 0..400 {
        bench.serve(Duration::from_secs(20));
    }
    let longest = bench.pick().wait;
    assert!(
        longest <= Duration::from_millis(3_200),
        "bounded: {longest:?}"
    );
}

#[test]
fn nothing_is_learnt_where_that_is_switched_off() {
    let mut bench = ReadingBench::new(PolicySwitches::new().without(PolicyPart::PrefillSpeed));
    for _ in 0..20 {
        bench.serve(Duration::from_millis(1_600));
    }
    assert_eq!(bench.pick().wait.as_millis(), 800);
}
