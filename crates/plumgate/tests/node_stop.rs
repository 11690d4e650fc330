//! Which runs a node that stops may begin, by given times.

use std::time::{Duration, Instant};

use plumgate::gateway::{BALANCER_LAG, NodeStop, RunForecast, RunPlan, RunTime, RunTimes};
use quickcheck::quickcheck;

const GRACE: Duration = Duration::from_secs(8);
const MS: Duration = Duration::from_millis(1);

/// Whether a first run and a further one begin.
const ANY: [bool; 2] = [true, true];
const FURTHER: [bool; 2] = [false, true];
const NONE: [bool; 2] = [false, false];

fn time(first: u32, rest: u32, output_hint: Option<u32>) -> RunTime {
    RunTime {
        first: MS * first,
        rest: MS * rest,
        output_hint,
    }
}

fn forecast(wait: u32, output_hint: Option<u32>) -> RunForecast<'static> {
    RunForecast {
        route: "chat",
        wait: MS * wait,
        output_hint,
        received_for: Duration::ZERO,
    }
}

#[test]
fn run_begins_if_its_limit_or_its_expected_time_fits() {
    let start = Instant::now();
    let stop = NodeStop::new(start, GRACE);
    // (time of the run's start, time limit, expected time, whether a first and a further run begin), in milliseconds.
    for (now, limit, expected, begins) in [
        (0, 7_000, None, ANY),
        (0, 30_000, None, ANY),
        (2_300, 30_000, None, ANY),
        (2_400, 30_000, None, FURTHER),
        (3_000, 30_000, None, NONE),
        (3_000, 4_000, None, ANY),
        (0, 30_000, Some(5_500), ANY),
        (0, 30_000, Some(6_500), NONE),
        (2_300, 30_000, Some(3_500), ANY),
        (2_400, 30_000, Some(3_500), FURTHER),
        (4_500, 30_000, Some(100), FURTHER),
        (4_500, 6_000, Some(4_000), NONE),
        (4_500, 2_500, Some(4_000), ANY),
        (7_000, 6_000, Some(100), FURTHER),
        (7_250, 6_000, Some(100), NONE),
        (7_699, 6_000, Some(0), NONE),
        (9_000, 1, Some(0), NONE),
    ] {
        let now = start + MS * now;
        let plan = RunPlan {
            due: now + MS * limit,
            expected: expected.map(|expected| MS * expected),
            is_first: true,
        };
        let further = RunPlan {
            is_first: false,
            ..plan
        };
        let allowed = [plan, further].map(|plan| stop.allows(&plan, now));
        assert_eq!(allowed, begins, "{plan:?} at {now:?}");
    }
}

quickcheck! {
    // Guards against a run that begins though neither its limit nor its expected time ends before the process does.
    fn run_that_begins_ends_before_the_process(
        now: u16,
        limit: u16,
        expected: Option<u16>,
        grace: u16,
        is_first: bool
    ) -> bool {
        let start = Instant::now();
        let stop = NodeStop::new(start, MS * grace.into());
        let now = start + MS * now.into();
        let plan = RunPlan {
            due: now + MS * limit.into(),
            expected: expected.map(|expected| MS * expected.into()),
            is_first,
        };
        let unknown = MS * grace.into() / 2;
        let ends_at = plan.due.min(now + plan.expected.unwrap_or(unknown));
        !stop.allows(&plan, now) || ends_at <= start + MS * grace.into()
    }
}

quickcheck! {
    // Guards against a request late in a stop that is begun though its time limit may end after the process.
    fn late_first_run_ends_by_its_limit(now: u16, limit: u16, expected: Option<u16>, grace: u16) -> bool {
        let start = Instant::now();
        let stop = NodeStop::new(start, MS * grace.into());
        let now = start + BALANCER_LAG + MS * now.into();
        let plan = RunPlan {
            due: now + MS * limit.into(),
            expected: expected.map(|expected| MS * expected.into()),
            is_first: true,
        };
        !stop.allows(&plan, now) || plan.due <= stop.ends_at()
    }
}

#[test]
fn little_knowledge_gives_no_estimate() {
    let mut times = RunTimes::default();
    assert_eq!(times.expected(&forecast(0, None)), None);
    times.record("chat", time(100, 900, None));
    times.record("other", time(100, 900, None));
    assert_eq!(times.expected(&forecast(0, None)), None);
}

#[test]
fn estimate_is_a_high_quantile_of_the_last_runs() {
    let mut times = RunTimes::default();
    (0..200).for_each(|_| times.record("chat", time(100, 9_000, None)));
    for run in 0..64 {
        times.record(
            "chat",
            time(100, if run % 10 == 0 { 2_000 } else { 900 }, None),
        );
    }
    assert_eq!(times.expected(&forecast(0, None)), Some(MS * 2_100));
    assert_eq!(times.expected(&forecast(700, None)), Some(MS * 2_700));
}

#[test]
fn estimate_grows_with_the_expected_output() {
    let mut times = RunTimes::default();
    (1..=20).for_each(|run| times.record("chat", time(200, 20 * 10 * run, Some(10 * run))));
    assert_eq!(times.expected(&forecast(0, Some(10))), Some(MS * 400));
    assert_eq!(times.expected(&forecast(0, Some(400))), Some(MS * 8_200));
}

#[test]
fn resumed_run_needs_what_is_left_of_the_answer() {
    let mut times = RunTimes::default();
    (0..4).for_each(|_| times.record("chat", time(200, 4_000, None)));
    for (received_for, expected) in [(0, 4_200), (3_000, 1_200), (9_000, 200)] {
        let forecast = RunForecast {
            received_for: MS * received_for,
            ..forecast(0, None)
        };
        assert_eq!(times.expected(&forecast), Some(MS * expected));
    }
}
