//! Prediction of waits from the measured prefill speed of the engines.

mod entries;

use std::time::{Duration, Instant};

use entries::server_entry;
use plumgate::gateway::servers::ServerChange;
use plumgate::gateway::{
    LoadTable, PlacementOptions, PlacementRequest, PolicyPart, PolicySwitches, PromptPart,
    PromptShape, ServerPick, StreamClass, WorkOutcome,
};
use plumgate::ids::PoolId;

/// Prompt tokens of each request.
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

/// A node in front of one server.
struct PrefillBench {
    table: LoadTable,
    pool: PoolId,
    prompt: PromptShape,
    now: Instant,
}

impl PrefillBench {
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

    /// Sends a request whose answer begins after a given time.
    fn serve(&mut self, latency: Duration) {
        let pick = self.pick();
        let request = request(&self.pool, &self.prompt);
        let mut ticket = self.table.start(&pick, &request, self.now);
        self.now += latency;
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
        origin: None,
        output_hint: None,
    }
}

// Guards against callers that wait twice as long as predicted, and late answers where callers should have
// been refused: the engines' prefill is slower than expected. The prediction must follow the measured speed
// within a second or two of a burst, and return to the expected speed afterwards.
#[test]
fn waits_are_predicted_from_the_measured_speed() {
    let mut bench = PrefillBench::new(PolicySwitches::new());
    let before = bench.pick().wait;
    assert_eq!(before.as_millis(), 800, "42,000 tokens per second");
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
fn outlier_changes_the_prediction_little() {
    let mut bench = PrefillBench::new(PolicySwitches::new());
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
fn prefill_speed_is_not_learnt_when_switched_off() {
    let mut bench = PrefillBench::new(PolicySwitches::new().without(PolicyPart::PrefillSpeed));
    for _ in 0..20 {
        bench.serve(Duration::from_millis(1_600));
    }
    assert_eq!(bench.pick().wait.as_millis(), 800);
}
