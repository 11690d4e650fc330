//! Counts of requests that nodes send each other, and the time of day that they agree on.

use std::time::Duration;

use plumgate::duty::{
    AgreedClock, ClockReport, ReportTimes, UsageCounts, UsageTable, UsageTally, UsageUpdate,
};
use plumgate::ids::{DataCentreId, NodeId};

/// A time in the middle of a window, in milliseconds since the Unix epoch.
const UNIX_MS: u64 = 1_767_225_602_500;

fn times() -> ReportTimes {
    ReportTimes {
        window: Duration::from_secs(5),
        late: Duration::from_secs(10),
    }
}

/// One node with its counts.
struct CountingNode {
    name: NodeId,
    table: UsageTable,
    tally: UsageTally,
}

impl CountingNode {
    fn new(name: &str, data_centre: &str, incarnation: u64) -> Self {
        Self {
            name: name.into(),
            table: UsageTable::new(data_centre.into(), incarnation, times()),
            tally: UsageTally::default(),
        }
    }

    fn count(&mut self, workspace: &str, requests: u64) {
        for _ in 0..requests {
            self.tally.record(workspace, times().window_at(UNIX_MS));
        }
    }

    /// Returns all updates that the node sends to its collector within a second from a time on, in
    /// milliseconds.
    fn updates_from(&mut self, from: u64) -> Vec<UsageUpdate> {
        let rounds = (0..10).flat_map(|round| {
            let boot = Duration::from_millis(from + round * 100);
            self.table.own_updates(&self.tally, UNIX_MS, boot)
        });
        rounds.collect()
    }
}

fn sum(table: &UsageTable, data_centres: &[DataCentreId]) -> (UsageCounts, bool) {
    let window = times().window_at(UNIX_MS);
    table.counts(window, ["lab", "clinic"].into_iter(), data_centres)
}

// Guards against requests that are counted twice or lost: a message arrives twice, an older one after a
// newer one, and a node restarts and counts from zero.
#[test]
fn counts_survive_duplicates_reordering_and_restarts() {
    let mut collector = CountingNode::new("collector", "a", 1);
    let mut node = CountingNode::new("node", "a", 2);
    node.count("lab", 7);
    let early = node.updates_from(0);
    node.count("lab", 3);
    let late = node.updates_from(1_000);
    let boot = Duration::from_secs(2);
    for update in late.iter().chain(&early).chain(&late) {
        collector.table.receive(&node.name, update.clone(), boot);
    }
    let mut restarted = CountingNode::new("node", "a", 3);
    restarted.count("lab", 2);
    restarted.count("clinic", 1);
    for update in restarted.updates_from(0) {
        collector.table.receive(&restarted.name, update, boot);
    }
    collector.count("clinic", 4);
    collector.table.update_sums(&collector.tally, UNIX_MS, boot);
    let (counts, _) = sum(&collector.table, &["a".into()]);
    let expected = [("lab".to_owned(), 12), ("clinic".to_owned(), 5)];
    assert_eq!(counts, UsageCounts::from(expected));
}

// Guards against sums that are lost with their collector and with a node that had reported to it: another
// data centre's collector has received the sums, and sends them to the next collector.
#[test]
fn sums_survive_the_loss_of_their_collector() {
    let boot = Duration::from_secs(2);
    let mut first = CountingNode::new("first", "a", 1);
    let mut foreign = CountingNode::new("foreign", "b", 2);
    let mut node = CountingNode::new("node", "a", 3);
    node.count("lab", 9);
    for update in node.updates_from(0) {
        first.table.receive(&node.name, update, boot);
    }
    first.table.update_sums(&first.tally, UNIX_MS, boot);
    for update in first.table.data_centre_updates(boot) {
        foreign.table.receive(&first.name, update, boot);
    }
    let mut second = CountingNode::new("second", "a", 4);
    second.count("lab", 1);
    second.table.update_sums(&second.tally, UNIX_MS, boot);
    for update in foreign.table.data_centre_updates(boot) {
        second.table.receive(&foreign.name, update, boot);
    }
    let (counts, _) = sum(&second.table, &["a".into()]);
    assert_eq!(counts.get("lab"), Some(&9));
}

// Guards against incomplete sums that count as complete: a node is cut off for some seconds. The sums are
// complete only once it has sent its later counts, or has been silent for so long that the collector no
// longer waits for it.
#[test]
fn sums_are_complete_once_all_nodes_have_reported() {
    let mut collector = CountingNode::new("collector", "a", 1);
    let mut node = CountingNode::new("node", "a", 2);
    let updates = node.updates_from(0);
    let boot = Duration::from_secs(1);
    for update in updates {
        collector.table.receive(&node.name, update, boot);
    }
    let end = times().end(times().window_at(UNIX_MS));
    let data_centres = ["a".into()];
    collector
        .table
        .update_sums(&collector.tally, end + 500, boot);
    assert!(!sum(&collector.table, &data_centres).1);
    let later = boot + Duration::from_secs(9);
    collector
        .table
        .update_sums(&collector.tally, end + 2_000, later);
    assert!(sum(&collector.table, &data_centres).1);
    assert!(!sum(&collector.table, &["a".into(), "b".into()]).1);
}

// Guards against traffic that grows with the number of past windows, and against rounds that do not fit into
// one packet: 1,100 workspaces at each of the nodes.
#[test]
fn updates_are_bounded() {
    let mut node = CountingNode::new("node", "a", 2);
    for number in 0..1_100 {
        node.count(&format!("workspace-{number}"), 1);
    }
    let mut bytes = 0;
    for round in 0..300 {
        let boot = Duration::from_millis(round * 100);
        let mut tally = std::mem::take(&mut node.tally);
        node.table.tick(&mut tally, UNIX_MS);
        for update in node.table.own_updates(&tally, UNIX_MS, boot) {
            let size = postcard_size(&update);
            assert!(size < 1_400, "{size}");
            bytes += size;
        }
        node.tally = tally;
    }
    assert!(bytes / 30 < 8_000, "{} bytes a second", bytes / 30);
}

fn postcard_size(update: &UsageUpdate) -> usize {
    postcard::to_stdvec(update).map_or(0, |bytes| bytes.len())
}

// The time of day jumps by seconds on a quarter of the nodes and on the evaluating one: the median does not.
#[test]
fn agreed_time_tolerates_clock_jumps() {
    let mut clock = AgreedClock::new();
    let boot = Duration::from_secs(100);
    clock.record_own(UNIX_MS + 2_400, boot);
    for number in 0..12 {
        let jump = if number < 3 { 2_400 } else { number };
        let report = ClockReport {
            own: UNIX_MS + jump,
            data_centre: None,
            agreed: None,
        };
        clock.receive(&format!("node-{number}").as_str().into(), &report, boot);
    }
    clock.update_agreed(boot);
    let now = clock.now(boot).expect("a time");
    assert!(now.abs_diff(UNIX_MS) <= 12, "{now}");
    let later = boot + Duration::from_secs(4);
    let now = clock.now(later).expect("a time");
    assert!(now.abs_diff(UNIX_MS + 4_000) <= 12, "{now}");
}

// The time of day of a node jumps ahead and back while it runs: the node's own estimate changes by a few
// milliseconds only.
#[test]
fn own_time_does_not_jump() {
    let mut clock = AgreedClock::new();
    for second in 0..20 {
        let jump = if (5..11).contains(&second) { 2_400 } else { 0 };
        let boot = Duration::from_secs(second);
        clock.record_own(UNIX_MS + second * 1_000 + jump, boot);
        let now = clock.now(boot).expect("a time");
        assert!(
            now.abs_diff(UNIX_MS + second * 1_000) <= 4,
            "second {second}"
        );
    }
}

// Three data centres under load for a minute: the sums of the first collector for each window equal what was
// counted, whichever messages are lost.
#[test]
fn sums_of_a_fleet_equal_the_counts() {
    let mut rng = fastrand::Rng::with_seed(5);
    let data_centres = ["a", "b", "c"];
    let mut nodes: Vec<CountingNode> = (0..15)
        .map(|number| {
            CountingNode::new(
                &format!("node-{number:02}"),
                data_centres[number % 3],
                number as u64,
            )
        })
        .collect();
    let mut expected: std::collections::BTreeMap<u64, u64> = std::collections::BTreeMap::new();
    for round in 0..600_u64 {
        let boot = Duration::from_millis(round * 100);
        let unix = UNIX_MS + round * 100;
        for at in 0..nodes.len() {
            for _ in 0..rng.u32(0..6) {
                let workspace = if rng.bool() { "lab" } else { "clinic" };
                nodes[at].tally.record(workspace, times().window_at(unix));
                *expected.entry(times().window_at(unix)).or_default() += 1;
            }
            let mut tally = std::mem::take(&mut nodes[at].tally);
            nodes[at].table.tick(&mut tally, unix);
            let name = nodes[at].name.clone();
            let (updates, to): (_, Vec<usize>) = if at < 3 {
                nodes[at].table.update_sums(&tally, unix, boot);
                (
                    nodes[at].table.data_centre_updates(boot),
                    (0..3).filter(|to| *to != at).collect(),
                )
            } else {
                (
                    nodes[at].table.own_updates(&tally, unix, boot),
                    vec![at % 3],
                )
            };
            nodes[at].tally = tally;
            for update in updates {
                for to in &to {
                    if rng.u8(0..20) > 0 {
                        nodes[*to].table.receive(&name, update.clone(), boot);
                    }
                }
            }
        }
        let window = times().window_at(unix.saturating_sub(5_000));
        if unix % 5_000 == 4_900 && round > 50 {
            let (counts, _) = nodes[0].table.counts(
                window,
                ["lab", "clinic"].into_iter(),
                &data_centres.map(DataCentreId::from),
            );
            let sum: u64 = counts.values().sum();
            assert_eq!(Some(&sum), expected.get(&window), "window {window}");
        }
    }
}

// Guards against delays that add up: the collectors of three data centres send each other their agreed time
// ten times a second, and messages are delayed. If each adopted the others' agreed time again and again, the
// delays would accumulate and windows would grow longer.
#[test]
fn delays_between_collectors_do_not_add_up() {
    let names = ["node-a", "node-b", "node-c"].map(NodeId::from);
    let mut clocks = [AgreedClock::new(), AgreedClock::new(), AgreedClock::new()];
    for round in 0..600_u64 {
        let sent = Duration::from_millis(round * 100);
        let received = sent + Duration::from_millis(30);
        for clock in &mut clocks {
            clock.record_own(UNIX_MS + round * 100, sent);
            clock.update_agreed(sent);
        }
        let reports = clocks.each_ref().map(|clock| clock.report(sent));
        for (at, clock) in clocks.iter_mut().enumerate() {
            for (from, report) in reports.iter().enumerate().filter(|(from, _)| *from != at) {
                let report = report.expect("a time");
                clock.receive_data_centre(&names[from], &report, 25, received);
            }
        }
    }
    let end = Duration::from_secs(60);
    for clock in &clocks {
        let now = clock.now(end).expect("a time");
        assert!(now.abs_diff(UNIX_MS + 60_000) <= 60, "{now}");
    }
}

// When another node becomes the collector and a window is due, all counts are sent again within a round,
// changed or not.
#[test]
fn new_collector_gets_all_counts_at_once() {
    let mut node = CountingNode::new("node", "a", 2);
    node.count("lab", 4);
    assert!(!node.updates_from(0).is_empty());
    let boot = Duration::from_millis(1_100);
    let has_counts = |updates: &[UsageUpdate]| {
        let rows = updates.iter().map(|update| match update {
            UsageUpdate::Own { rows, .. } | UsageUpdate::DataCentre { rows, .. } => rows.len(),
        });
        rows.sum::<usize>() > 0
    };
    assert!(!has_counts(&node.table.own_updates(
        &node.tally,
        UNIX_MS,
        boot
    )));
    node.table.resend_all();
    assert!(has_counts(&node.table.own_updates(
        &node.tally,
        UNIX_MS,
        boot
    )));
}
