//! What single nodes decide about servers that name limits.

mod entries;

use std::time::{Duration, Instant};

use plumgate::gateway::{
    ExchangeMoment, GatewayConfig, LimitChange, LimitObservation, LoadExchange, MessageTime,
    NodeEntry, PermitStatus, RequestRate, ServerLimits, SyncState, WorkspaceKeys,
};

fn seconds(count: f64) -> Duration {
    Duration::from_secs_f64(count)
}

/// Less urgent requests that were turned away kept more urgent ones of the same node from the server.
#[test]
fn most_urgent_requests_go_first_and_others_are_not_starved() {
    let server = entries::server_entry("limited");
    let mut limits = ServerLimits::new(false, 1);
    let named = LimitObservation {
        rate: RequestRate::new(5.0),
        sent: seconds(1.0),
        seen: seconds(1.0),
    };
    limits.record_answer(&server, named);
    let mut sent = [0_u32; 2];
    let mut now = seconds(2.0);
    for step in 0..6_000 {
        now += Duration::from_millis(10);
        // Either kind alone would use the limit up ten times.
        let urgency = if step % 2 == 0 { 1 } else { 4 };
        if let PermitStatus::Granted(_) = limits.request_permit(&server, urgency, now) {
            sent[usize::from(urgency == 4)] += 1;
        }
    }
    let [urgent, others] = sent;
    assert!(urgent >= 200, "{urgent} urgent and {others} others in 60 s");
    assert!(others >= 20, "{urgent} urgent and {others} others in 60 s");
}

/// A request that waited for its connection was sent although its server had named a limit meanwhile.
#[test]
fn request_that_waited_for_a_connection_needs_a_permit_too() {
    let server = entries::server_entry("limited");
    let mut limits = ServerLimits::new(false, 1);
    assert_eq!(
        limits.request_permit(&server, 0, seconds(1.0)),
        PermitStatus::NotRequired
    );
    let named = LimitObservation {
        rate: RequestRate::new(1.0),
        sent: seconds(1.0),
        seen: seconds(1.1),
    };
    limits.record_answer(&server, named);
    assert!(!limits.allows(&server, None, seconds(1.2)));
    let PermitStatus::Granted(permit) = limits.request_permit(&server, 0, seconds(4.0)) else {
        panic!("the server gets one a second");
    };
    assert!(limits.allows(&server, Some(&permit), seconds(4.1)));
    assert!(
        !limits.allows(&server, Some(&permit), seconds(5.0)),
        "it was saved up"
    );
}

/// An answer that came late lifted a limit, or brought one back that had ended.
#[test]
fn answers_that_overtake_each_other_neither_lift_nor_restore_a_limit() {
    let server = entries::server_entry("limited");
    let mut limits = ServerLimits::new(false, 1);
    let observation = |rate: Option<f64>, sent: f64, seen: f64| LimitObservation {
        rate: rate.and_then(RequestRate::new),
        sent: seconds(sent),
        seen: seconds(seen),
    };
    limits.record_answer(&server, observation(Some(1.0), 10.0, 10.5));
    // It left before the limit was seen: it may have been written before.
    assert_eq!(
        limits.record_answer(&server, observation(None, 10.2, 11.0)),
        None
    );
    assert_eq!(
        limits.record_answer(&server, observation(Some(9.0), 10.2, 11.0)),
        None
    );
    let ended = limits.record_answer(&server, observation(None, 11.0, 11.2));
    assert_eq!(ended, Some(LimitChange::Ended));
    // It came after the end, and was written before it.
    assert_eq!(
        limits.record_answer(&server, observation(Some(1.0), 9.0, 10.9)),
        None
    );
    assert_eq!(limits.rate(&server), None);
}

/// A server that started again under its id was held to the limit of the one before.
#[test]
fn server_that_starts_again_has_no_limit_and_its_entry_may_lapse_and_return() {
    let mut limits = ServerLimits::new(false, 1);
    let before = entries::born_entry("limited", 1);
    let named = LimitObservation {
        rate: RequestRate::new(1.0),
        sent: seconds(1.0),
        seen: seconds(1.0),
    };
    limits.record_answer(&before, named);
    assert_eq!(limits.rate(&entries::born_entry("limited", 2)), None);
    assert!(limits.rate(&entries::born_entry("limited", 1)).is_some());
}

/// One of two nodes that talk to each other, under the keys of a configuration.
fn talker(own: &NodeEntry, entries: &[NodeEntry], key: &str) -> (LoadExchange, ServerLimits) {
    let mut exchange = LoadExchange::new(own.clone());
    exchange.set_nodes(entries.to_vec());
    let workspace = WorkspaceKeys {
        workspace: "lab".into(),
        priority: None,
    };
    let config = GatewayConfig::default().with_workspace(&workspace, [key.to_owned()]);
    let mut limits = ServerLimits::new(true, 1);
    limits.set_config(&config);
    (exchange, limits)
}

/// What a node believes that got a message about a limit, sealed under some key and some milliseconds ago.
fn believes(key: &str, late_ms: u64) -> bool {
    let entries = entries::node_entries(1, 2);
    let (sender, mut told) = talker(&entries[0], &entries, key);
    let (mut receiver, mut limits) = talker(&entries[1], &entries, "key-1");
    let server = entries::server_entry("limited");
    let named = LimitObservation {
        rate: RequestRate::new(1.0),
        sent: seconds(1.0),
        seen: seconds(1.0),
    };
    told.record_answer(&server, named);
    let mut desk = SyncState::new(seconds(5.0), 1);
    let sent = MessageTime {
        boot: seconds(1.1),
        unix_ms: 1_767_225_600_000,
    };
    let came = MessageTime {
        boot: seconds(500.0),
        unix_ms: sent.unix_ms + late_ms,
    };
    let moment = ExchangeMoment {
        now: Instant::now(),
        boot: came.boot,
    };
    let packets = told.run_round(&sender, sent);
    assert!(!packets.is_empty(), "a limit is told");
    for (_, bytes) in packets {
        let from = entries[0].address;
        let taken = receiver.receive(&bytes, from, &mut desk, moment);
        taken.expect("a message");
    }
    let mail = receiver.take_statements();
    let (_, outcome) = limits.receive(&receiver, mail, came);
    let is_believed = limits.rate(&server).is_some();
    assert_eq!(outcome.refused == 0, is_believed);
    is_believed
}

/// Somebody who knows no keys, or sends an old message once more, told nodes of limits.
#[test]
fn forged_and_old_messages_change_nothing() {
    assert!(believes("key-1", 0), "a node is believed");
    assert!(!believes("another key", 0), "a stranger is not");
    assert!(
        !believes("key-1", 60_000),
        "nor is what was said a minute ago"
    );
}

/// Has a node that knows of a limit hear of its end, in a message that was on its way for some time; whether it
/// believes that.
fn believes_end(known_seen: f64, end_sent: f64, told: f64, heard: f64, rounds: &[f64]) -> bool {
    let entries = entries::node_entries(1, 2);
    let (sender, mut teller) = talker(&entries[0], &entries, "key-1");
    let (mut receiver, mut limits) = talker(&entries[1], &entries, "key-1");
    let server = entries::server_entry("limited");
    let observation = |rate: Option<f64>, sent: f64| LimitObservation {
        rate: rate.and_then(RequestRate::new),
        sent: seconds(sent),
        seen: seconds(sent + 0.01),
    };
    let mail = |at: f64| MessageTime {
        boot: seconds(at),
        unix_ms: 1_767_225_600_000,
    };
    teller.record_answer(&server, observation(Some(1.0), 5.0));
    teller.record_answer(&server, observation(None, end_sent));
    limits.record_answer(&server, observation(Some(1.0), known_seen));
    for at in rounds {
        limits.run_round(&receiver, mail(*at));
    }
    let mut desk = SyncState::new(seconds(5.0), 1);
    let moment = ExchangeMoment {
        now: Instant::now(),
        boot: seconds(heard),
    };
    for (_, bytes) in teller.run_round(&sender, mail(told)) {
        let taken = receiver.receive(&bytes, entries[0].address, &mut desk, moment);
        taken.expect("a message");
    }
    let mails = receiver.take_statements();
    limits.receive(&receiver, mails, mail(heard));
    limits.rate(&server).is_none()
}

/// A message that came late said that a limit had ended which the server named again meanwhile.
#[test]
fn end_that_is_told_late_lifts_no_newer_limit() {
    let rounds = [8.0, 8.4, 8.8, 9.2, 9.6];
    assert!(believes_end(8.0, 9.5, 9.6, 9.7, &rounds), "news in time");
    let rounds = [8.8, 9.2, 9.6, 10.0, 10.4];
    assert!(
        !believes_end(10.0, 9.5, 9.6, 10.4, &rounds),
        "0.8 s on its way"
    );
}

/// A node that woke believed what had waited for it as long as it stood still.
#[test]
fn node_that_wakes_believes_no_end_that_waited_for_it() {
    let before = [15.8, 16.0];
    assert!(
        !believes_end(15.0, 16.9, 17.0, 20.0, &before),
        "it stood still from 16 to 20"
    );
}
