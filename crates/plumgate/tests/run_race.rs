//! Two runs of one request, in all orders of events.

use plumgate::gateway::{RaceAction, RaceEvent, RunRace};

/// Number of events of an order.
const MAX_EVENTS: usize = 7;

/// Model of the runs, as the servers see them.
#[derive(Clone, Copy, Debug, Default)]
struct RunModel {
    has_first: bool,
    has_second: bool,
    is_denied: bool,
    is_ended: bool,
}

impl RunModel {
    fn expects(&self, event: RaceEvent) -> bool {
        match event {
            RaceEvent::Silence | RaceEvent::FirstAnswered | RaceEvent::FirstFailed => {
                self.has_first
            }
            RaceEvent::Denied | RaceEvent::SecondFailed | RaceEvent::SecondAnswered => {
                self.has_second
            }
            RaceEvent::Due => true,
        }
    }

    fn apply(&mut self, event: RaceEvent, action: RaceAction) {
        match event {
            RaceEvent::FirstFailed => self.has_first = false,
            RaceEvent::SecondFailed => self.has_second = false,
            RaceEvent::Denied => {
                self.has_second = false;
                self.is_denied = true;
            }
            RaceEvent::Silence => self.is_denied = false,
            _ => {}
        }
        match action {
            RaceAction::AskSecond => self.has_second = true,
            RaceAction::KeepFirst => self.has_second = false,
            RaceAction::TakeSecond => self.has_first = false,
            RaceAction::Wait | RaceAction::Fail => {}
        }
        self.is_ended = matches!(
            action,
            RaceAction::KeepFirst | RaceAction::TakeSecond | RaceAction::Fail
        );
    }
}

const EVENTS: [RaceEvent; 7] = [
    RaceEvent::Silence,
    RaceEvent::Denied,
    RaceEvent::SecondFailed,
    RaceEvent::SecondAnswered,
    RaceEvent::FirstAnswered,
    RaceEvent::FirstFailed,
    RaceEvent::Due,
];

/// Plays all orders of events that can follow, and returns their number.
fn play(race: RunRace, model: RunModel, order: &mut Vec<RaceEvent>) -> usize {
    if model.is_ended || order.len() == MAX_EVENTS {
        return 1;
    }
    let mut played = 0;
    for event in EVENTS.into_iter().filter(|event| model.expects(*event)) {
        order.push(event);
        let (mut race, mut next) = (race, model);
        let action = race.apply(event);
        check(order, model, event, action);
        next.apply(event, action);
        assert!(
            next.is_ended || next.has_first || next.has_second,
            "{order:?}: waits for nothing"
        );
        played += play(race, next, order);
        order.pop();
    }
    played
}

fn check(order: &[RaceEvent], before: RunModel, event: RaceEvent, action: RaceAction) {
    let place = format!("{order:?} -> {action:?}");
    match action {
        RaceAction::TakeSecond => assert_eq!(event, RaceEvent::SecondAnswered, "{place}"),
        RaceAction::KeepFirst => assert_eq!(event, RaceEvent::FirstAnswered, "{place}"),
        RaceAction::AskSecond => {
            let is_free = !before.has_second || event == RaceEvent::SecondFailed;
            assert!(is_free, "{place}: two other servers are asked at once");
        }
        RaceAction::Fail => {
            let keeps_first = before.has_first && event != RaceEvent::FirstFailed;
            let is_due = event == RaceEvent::Due;
            assert!(is_due || !keeps_first, "{place}: a run is given up");
        }
        RaceAction::Wait => {}
    }
}

/// Guards against a request that fails, or waits for nothing, while one of its servers may still answer.
#[test]
fn no_order_of_events_gives_up_an_open_run() {
    let model = RunModel {
        has_first: true,
        ..RunModel::default()
    };
    let played = play(RunRace::new(), model, &mut Vec::new());
    assert!(played > 1_000, "{played} orders");
}
