//! When connections of callers may close, in random orders of events.

use std::time::{Duration, Instant};

use plumgate::gateway::{CallerActivity, CallerLimits};
use quickcheck::{Arbitrary, Gen, quickcheck};

/// Event of a connection.
#[derive(Clone, Copy, Debug)]
enum CallerEvent {
    /// Time passes, in milliseconds.
    Wait(u64),
    Bytes,
    Request,
    Answer,
    Sent,
    /// The rest of a rejected request is read from now on.
    Discard,
    Discarded,
    /// A configuration sets the idle limit, in milliseconds.
    IdleLimit(u64),
    Stop,
}

impl Arbitrary for CallerEvent {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 10 {
            0 => Self::Bytes,
            1 => Self::Request,
            2 => Self::Answer,
            3 => Self::Sent,
            4 => Self::Discard,
            5 => Self::Discarded,
            6 => Self::IdleLimit(u64::arbitrary(g) % 8_000),
            7 if u8::arbitrary(g) % 4 == 0 => Self::Stop,
            _ => Self::Wait(u64::arbitrary(g) % 6_000),
        }
    }
}

/// What the caller and the node know of a connection.
#[derive(Clone, Copy, Debug)]
struct ConnectionModel {
    answering: bool,
    discarding: bool,
    /// Time since when an answer is unsent.
    unsent_since: Option<Instant>,
    /// Idle limit when the last request began.
    known_idle: Duration,
    /// Time at which the caller received the end of the last answer.
    answered_at: Instant,
    has_partial_head: bool,
    is_stopping: bool,
}

fn limits(idle: Duration) -> CallerLimits {
    CallerLimits {
        idle_timeout: idle,
        ..CallerLimits::default()
    }
}

/// Plays the events; returns what a close would take from the caller.
fn play(events: &[CallerEvent]) -> Result<(), String> {
    let start = Instant::now();
    let mut now = start;
    let mut idle = Duration::from_secs(5);
    let mut activity = CallerActivity::new(limits(idle), now);
    let mut model = ConnectionModel {
        answering: false,
        discarding: false,
        unsent_since: None,
        known_idle: idle,
        answered_at: now,
        has_partial_head: false,
        is_stopping: false,
    };
    for event in events {
        match *event {
            CallerEvent::Wait(time) => now += Duration::from_millis(time),
            CallerEvent::Bytes => {
                activity.on_bytes(now);
                model.has_partial_head |= !model.answering && !model.discarding;
            }
            CallerEvent::Request
                if !model.answering && !model.discarding && model.unsent_since.is_none() =>
            {
                activity.on_bytes(now);
                activity.begin_request(limits(idle));
                model.known_idle = idle;
                model.answering = true;
                model.has_partial_head = false;
            }
            CallerEvent::Answer if model.answering => {
                activity.on_answer(false);
                activity.on_unsent(now);
                activity.release(now);
                model.answering = false;
                model.unsent_since.get_or_insert(now);
                model.answered_at = now;
            }
            CallerEvent::Sent if model.unsent_since.is_some() => {
                activity.on_sent(now);
                model.unsent_since = None;
                model.answered_at = now;
            }
            CallerEvent::Discard if model.answering && !model.discarding => {
                activity.hold();
                model.discarding = true;
            }
            CallerEvent::Discarded if model.discarding => {
                activity.release(now);
                model.discarding = false;
                model.answered_at = now;
            }
            CallerEvent::IdleLimit(time) => idle = Duration::from_millis(time),
            CallerEvent::Stop => model.is_stopping = true,
            _ => {}
        }
        let closes_at = activity.closes_at(limits(idle), model.is_stopping);
        check(&model, closes_at, now)?;
        // A connection that has closed takes no further events.
        if closes_at.is_some_and(|at| at <= now) {
            return Ok(());
        }
    }
    Ok(())
}

fn check(model: &ConnectionModel, closes_at: Option<Instant>, now: Instant) -> Result<(), String> {
    let is_held = model.answering || model.discarding;
    if is_held != closes_at.is_none() {
        return Err(format!("{model:?} closes at {closes_at:?}, now {now:?}"));
    }
    let Some(at) = closes_at else {
        return Ok(());
    };
    if model
        .unsent_since
        .is_some_and(|since| at < since + Duration::from_secs(30))
    {
        return Err(format!("{model:?}: an answer is unsent"));
    }
    let is_idle = model.unsent_since.is_none() && !model.has_partial_head;
    if is_idle && !model.is_stopping && at < model.answered_at + model.known_idle {
        return Err(format!("{model:?}: closes before the known idle time"));
    }
    Ok(())
}

/// Guards against a check that takes the end of a discarded request for progress in sending an answer.
#[test]
fn answer_that_is_not_taken_for_long_ends_although_the_rest_of_its_request_was_read() {
    let mut events = vec![
        CallerEvent::Request,
        CallerEvent::Discard,
        CallerEvent::Answer,
    ];
    events.extend([CallerEvent::Wait(5_000); 5]);
    events.extend([CallerEvent::Discarded, CallerEvent::Wait(5_000)]);
    assert_eq!(play(&events), Ok(()));
}

quickcheck! {
    /// Guards against a connection that closes while a request is unanswered, an answer unsent, or its caller may
    /// rely on its idle time.
    fn connection_closes_only_when_nothing_is_held(events: Vec<CallerEvent>) -> bool {
        match play(&events) {
            Ok(()) => true,
            Err(reason) => panic!("{reason} after {events:?}"),
        }
    }
}

/// Guards against a connection that a node closes before a request that crosses the end of an answer is read.
#[test]
fn node_that_stops_waits_for_a_request_that_crosses_an_answer() {
    let start = Instant::now();
    let mut activity = CallerActivity::new(limits(Duration::from_secs(5)), start);
    let stopped =
        |activity: &CallerActivity| activity.closes_at(limits(Duration::from_secs(5)), true);
    assert_eq!(stopped(&activity), Some(start));
    activity.begin_request(limits(Duration::from_secs(5)));
    activity.on_answer(false);
    activity.release(start);
    assert!(stopped(&activity) > Some(start));
    activity.begin_request(limits(Duration::from_secs(5)));
    activity.on_answer(true);
    activity.release(start);
    assert_eq!(stopped(&activity), Some(start));
}
