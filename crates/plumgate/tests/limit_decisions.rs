//! Decisions of single nodes about servers that state limits.

mod entries;

use std::time::{Duration, Instant};

use plumgate::gateway::{
    ExchangeMoment, GatewayConfig, KeyOwner, LimitChange, LimitObservation, LoadExchange,
    MessageTime, NodeEntry, PermitStatus, RequestRate, ServerLimits, SyncState,
};

fn seconds(count: f64) -> Duration {
    Duration::from_secs_f64(count)
}

/// Guards against deferred requests that block more urgent ones of the same node.
#[test]
fn most_urgent_requests_go_first_and_others_are_not_starved() {
    let server = entries::server_entry("limited");
    let mut limits = ServerLimits::new(false, 1);
    let observation = LimitObservation {
        rate: RequestRate::new(5.0),
        sent: seconds(1.0),
        seen: seconds(1.0),
    };
    limits.record_answer(&server, observation);
    let mut sent = [0_u32; 2];
    let mut now = seconds(2.0);
    for step in 0..6_000 {
        now += Duration::from_millis(10);
        // Either kind alone would use ten times the limit.
        let urgency = if step % 2 == 0 { 1 } else { 4 };
        if let PermitStatus::Granted(_) = limits.request_permit(&server, urgency, now) {
            sent[usize::from(urgency == 4)] += 1;
            let answer = LimitObservation {
                sent: now,
                seen: now,
                ..observation
            };
            limits.record_answer(&server, answer);
        }
    }
    let [urgent, others] = sent;
    assert!(urgent >= 200, "{urgent} urgent and {others} others in 60 s");
    assert!(others >= 20, "{urgent} urgent and {others} others in 60 s");
}

/// Guards against a request that waits for its connection and is sent although its server stated a limit
/// meanwhile.
#[test]
fn request_that_waited_for_a_connection_needs_a_permit_too() {
    let server = entries::server_entry("limited");
    let mut limits = ServerLimits::new(false, 1);
    assert_eq!(
        limits.request_permit(&server, 0, seconds(1.0)),
        PermitStatus::NotRequired
    );
    let observation = LimitObservation {
        rate: RequestRate::new(1.0),
        sent: seconds(1.0),
        seen: seconds(1.1),
    };
    limits.record_answer(&server, observation);
    assert!(!limits.allows(&server, None, seconds(1.2)));
    let PermitStatus::Granted(permit) = limits.request_permit(&server, 0, seconds(4.0)) else {
        panic!("no permit was granted");
    };
    assert!(limits.allows(&server, Some(&permit), seconds(4.1)));
    assert!(
        !limits.allows(&server, Some(&permit), seconds(5.0)),
        "the permit has expired"
    );
}

/// Guards against an answer that arrives late and lifts a limit, or restores one that had ended.
#[test]
fn reordered_answers_neither_lift_nor_restore_a_limit() {
    let server = entries::server_entry("limited");
    let mut limits = ServerLimits::new(false, 1);
    let observation = |rate: Option<f64>, sent: f64, seen: f64| LimitObservation {
        rate: rate.and_then(RequestRate::new),
        sent: seconds(sent),
        seen: seconds(seen),
    };
    limits.record_answer(&server, observation(Some(1.0), 10.0, 10.5));
    // Its request was sent before the limit was seen, so the answer may have been written before.
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
    // It arrived after the end of the limit, and was written before it.
    assert_eq!(
        limits.record_answer(&server, observation(Some(1.0), 9.0, 10.9)),
        None
    );
    assert_eq!(limits.rate(&server), None);
}

/// Guards against applying a limit to the next incarnation of a server that restarted under its id. An entry
/// that lapses and returns with the same start time keeps its limit.
#[test]
fn limit_applies_to_one_incarnation_of_a_server() {
    let mut limits = ServerLimits::new(false, 1);
    let before = entries::entry_with_start_time("limited", 1);
    let observation = LimitObservation {
        rate: RequestRate::new(1.0),
        sent: seconds(1.0),
        seen: seconds(1.0),
    };
    limits.record_answer(&before, observation);
    assert_eq!(
        limits.rate(&entries::entry_with_start_time("limited", 2)),
        None
    );
    assert!(
        limits
            .rate(&entries::entry_with_start_time("limited", 1))
            .is_some()
    );
}

/// Creates one of two nodes that exchange messages, with the keys of a configuration.
fn node_with_key(
    own: &NodeEntry,
    entries: &[NodeEntry],
    key: &str,
) -> (LoadExchange, ServerLimits) {
    let mut exchange = LoadExchange::new(own.clone());
    exchange.set_nodes(entries.to_vec());
    let workspace = KeyOwner {
        workspace: "lab".into(),
        priority: None,
    };
    let config = GatewayConfig::default().with_workspace(&workspace, [key.to_owned()]);
    let mut limits = ServerLimits::new(true, 1);
    limits.set_config(&config);
    (exchange, limits)
}

/// Returns whether a node applies a limit from a message that was sealed with `key` and arrives `late_ms`
/// milliseconds later.
fn applies_limit(key: &str, late_ms: u64) -> bool {
    let entries = entries::node_entries(1, 2);
    let (sender, mut sender_limits) = node_with_key(&entries[0], &entries, key);
    let (mut receiver, mut limits) = node_with_key(&entries[1], &entries, "key-1");
    let server = entries::server_entry("limited");
    let observation = LimitObservation {
        rate: RequestRate::new(1.0),
        sent: seconds(1.0),
        seen: seconds(1.0),
    };
    sender_limits.record_answer(&server, observation);
    let mut sync_state = SyncState::new(seconds(5.0), 1);
    let sent = MessageTime {
        boot: seconds(1.1),
        unix_ms: 1_767_225_600_000,
    };
    let received = MessageTime {
        boot: seconds(500.0),
        unix_ms: sent.unix_ms + late_ms,
    };
    let moment = ExchangeMoment {
        now: Instant::now(),
        boot: received.boot,
    };
    let packets = sender_limits.run_round(&sender, sent);
    assert!(!packets.is_empty(), "a limit is reported");
    for (_, bytes) in packets {
        let from = entries[0].address;
        let result = receiver.receive(&bytes, from, &mut sync_state, moment);
        result.expect("a message");
    }
    let statements = receiver.take_statements();
    let (_, outcome) = limits.receive(&receiver, statements, received);
    let is_applied = limits.rate(&server).is_some();
    assert_eq!(outcome.refused == 0, is_applied);
    is_applied
}

/// Guards against limits from a sender without the keys, and from an old message that is replayed.
#[test]
fn forged_and_old_messages_change_nothing() {
    assert!(
        applies_limit("key-1", 0),
        "a node with the same key is trusted"
    );
    assert!(
        !applies_limit("another key", 0),
        "a sender with another key is refused"
    );
    assert!(
        !applies_limit("key-1", 60_000),
        "a message from a minute ago is refused"
    );
}

/// Sends a node that knows of a limit a message about the limit's end, with some delay; returns whether the
/// node applies it.
fn applies_end(
    known_seen: f64,
    end_sent: f64,
    reported: f64,
    received: f64,
    rounds: &[f64],
) -> bool {
    let entries = entries::node_entries(1, 2);
    let (sender, mut sender_limits) = node_with_key(&entries[0], &entries, "key-1");
    let (mut receiver, mut limits) = node_with_key(&entries[1], &entries, "key-1");
    let server = entries::server_entry("limited");
    let observation = |rate: Option<f64>, sent: f64| LimitObservation {
        rate: rate.and_then(RequestRate::new),
        sent: seconds(sent),
        seen: seconds(sent + 0.01),
    };
    let message_time = |at: f64| MessageTime {
        boot: seconds(at),
        unix_ms: 1_767_225_600_000,
    };
    sender_limits.record_answer(&server, observation(Some(1.0), 5.0));
    sender_limits.record_answer(&server, observation(None, end_sent));
    limits.record_answer(&server, observation(Some(1.0), known_seen));
    for at in rounds {
        limits.run_round(&receiver, message_time(*at));
    }
    let mut sync_state = SyncState::new(seconds(5.0), 1);
    let moment = ExchangeMoment {
        now: Instant::now(),
        boot: seconds(received),
    };
    for (_, bytes) in sender_limits.run_round(&sender, message_time(reported)) {
        let result = receiver.receive(&bytes, entries[0].address, &mut sync_state, moment);
        result.expect("a message");
    }
    let statements = receiver.take_statements();
    limits.receive(&receiver, statements, message_time(received));
    limits.rate(&server).is_none()
}

/// Guards against a late message about the end of a limit that the server has stated again meanwhile.
#[test]
fn end_that_is_reported_late_lifts_no_newer_limit() {
    let rounds = [8.0, 8.4, 8.8, 9.2, 9.6];
    assert!(
        applies_end(8.0, 9.5, 9.6, 9.7, &rounds),
        "the message arrives in time"
    );
    let rounds = [8.8, 9.2, 9.6, 10.0, 10.4];
    assert!(
        !applies_end(10.0, 9.5, 9.6, 10.4, &rounds),
        "the message was 0.8 s in transit"
    );
}

/// Guards against a node that resumes and applies messages that were queued while it was suspended.
#[test]
fn node_that_resumes_ignores_old_reports_of_an_end() {
    let before = [15.8, 16.0];
    assert!(
        !applies_end(15.0, 16.9, 17.0, 20.0, &before),
        "the node was suspended from 16 s to 20 s"
    );
}
