//! Counts of requests as nodes tell each other of them, and the time of day that they agree on.

use std::time::Duration;

use plumgate::duty::{
    AgreedClock, ClockReport, ReportTimes, UsageCounts, UsageTable, UsageTally, UsageUpdate,
};
use plumgate::ids::{DataCentreId, NodeId};

/// A moment in the middle of a window.
const DAY: u64 = 1_767_225_602_500;

fn times() -> ReportTimes {
    ReportTimes {
        window: Duration::from_secs(5),
        late: Duration::from_secs(10),
    }
}

/// One node with what it counts.
struct CountingNode {
    name: NodeId,
    table: UsageTable,
    tally: UsageTally,
}

impl CountingNode {
    fn new(name: &str, centre: &str, incarnation: u64) -> Self {
        Self {
            name: name.into(),
            table: UsageTable::new(centre.into(), incarnation, times()),
            tally: UsageTally::default(),
        }
    }

    fn count(&mut self, workspace: &str, requests: u64) {
        for _ in 0..requests {
            self.tally.record(workspace, times().window_at(DAY));
        }
    }

    /// All that it tells its collector in a second from a time on.
    fn tell(&mut self, from: u64) -> Vec<UsageUpdate> {
        let rounds = (0..10).flat_map(|round| {
            let boot = Duration::from_millis(from + round * 100);
            self.table.own_updates(&self.tally, DAY, boot)
        });
        rounds.collect()
    }
}

fn sum(table: &UsageTable, centres: &[DataCentreId]) -> (UsageCounts, bool) {
    let window = times().window_at(DAY);
    table.counts(window, ["lab", "clinic"].into_iter(), centres)
}

// A message comes twice, an older one comes after a newer one, and a node starts again and counts from nothing: no
// request is counted twice, and none that was told is forgotten.
#[test]
fn counts_survive_repeats_other_orders_and_restarts() {
    let mut collector = CountingNode::new("collector", "a", 1);
    let mut node = CountingNode::new("node", "a", 2);
    node.count("lab", 7);
    let early = node.tell(0);
    node.count("lab", 3);
    let late = node.tell(1_000);
    let boot = Duration::from_secs(2);
    for news in late.iter().chain(&early).chain(&late) {
        collector.table.receive(&node.name, news.clone(), boot);
    }
    let mut again = CountingNode::new("node", "a", 3);
    again.count("lab", 2);
    again.count("clinic", 1);
    for news in again.tell(0) {
        collector.table.receive(&again.name, news, boot);
    }
    collector.count("clinic", 4);
    collector.table.update_sums(&collector.tally, DAY, boot);
    let (counts, _) = sum(&collector.table, &["a".into()]);
    let expected = [("lab".to_owned(), 12), ("clinic".to_owned(), 5)];
    assert_eq!(counts, UsageCounts::from(expected));
}

// The collector of a data centre ends, and with it a node that had told it. Another data centre's collector has heard
// of its sums, and tells them to the next collector.
#[test]
fn sums_outlive_their_collector() {
    let boot = Duration::from_secs(2);
    let mut first = CountingNode::new("first", "a", 1);
    let mut foreign = CountingNode::new("foreign", "b", 2);
    let mut node = CountingNode::new("node", "a", 3);
    node.count("lab", 9);
    for news in node.tell(0) {
        first.table.receive(&node.name, news, boot);
    }
    first.table.update_sums(&first.tally, DAY, boot);
    for news in first.table.data_centre_updates(boot) {
        foreign.table.receive(&first.name, news, boot);
    }
    let mut second = CountingNode::new("second", "a", 4);
    second.count("lab", 1);
    second.table.update_sums(&second.tally, DAY, boot);
    for news in foreign.table.data_centre_updates(boot) {
        second.table.receive(&foreign.name, news, boot);
    }
    let (counts, _) = sum(&second.table, &["a".into()]);
    assert_eq!(counts.get("lab"), Some(&9));
}

// A node is cut off for some seconds. The sums count as whole only once it has told what it had since, or was gone
// for so long that nobody waits for it.
#[test]
fn sums_are_whole_once_all_have_told() {
    let mut collector = CountingNode::new("collector", "a", 1);
    let mut node = CountingNode::new("node", "a", 2);
    let news = node.tell(0);
    let boot = Duration::from_secs(1);
    for news in news {
        collector.table.receive(&node.name, news, boot);
    }
    let end = times().end(times().window_at(DAY));
    let centres = ["a".into()];
    collector
        .table
        .update_sums(&collector.tally, end + 500, boot);
    assert!(!sum(&collector.table, &centres).1);
    let later = boot + Duration::from_secs(9);
    collector
        .table
        .update_sums(&collector.tally, end + 2_000, later);
    assert!(sum(&collector.table, &centres).1);
    assert!(!sum(&collector.table, &["a".into(), "b".into()]).1);
}

// What a node sends does not grow with windows that are over, and a round fits into one packet: 1,100 workspaces at
// each of the nodes.
#[test]
fn tellings_are_bounded() {
    let mut node = CountingNode::new("node", "a", 2);
    for number in 0..1_100 {
        node.count(&format!("workspace-{number}"), 1);
    }
    let mut bytes = 0;
    for round in 0..300 {
        let boot = Duration::from_millis(round * 100);
        let mut tally = std::mem::take(&mut node.tally);
        node.table.tick(&mut tally, DAY);
        for news in node.table.own_updates(&tally, DAY, boot) {
            let size = postcard_size(&news);
            assert!(size < 1_400, "{size}");
            bytes += size;
        }
        node.tally = tally;
    }
    assert!(bytes / 30 < 8_000, "{} bytes a second", bytes / 30);
}

fn postcard_size(news: &UsageUpdate) -> usize {
    postcard::to_stdvec(news).map_or(0, |bytes| bytes.len())
}

// The time of day jumps by seconds on a quarter of the nodes, and on the one that looks: the middle stays.
#[test]
fn agreed_time_stands_against_jumps() {
    let mut clock = AgreedClock::new();
    let boot = Duration::from_secs(100);
    clock.record_own(DAY + 2_400, boot);
    for number in 0..12 {
        let jump = if number < 3 { 2_400 } else { number };
        let news = ClockReport {
            own: DAY + jump,
            data_centre: None,
            agreed: None,
        };
        clock.receive(&format!("node-{number}").as_str().into(), &news, boot);
    }
    clock.update_agreed(boot);
    let now = clock.now(boot).expect("a time");
    assert!(now.abs_diff(DAY) <= 12, "{now}");
    let later = boot + Duration::from_secs(4);
    let now = clock.now(later).expect("a time");
    assert!(now.abs_diff(DAY + 4_000) <= 12, "{now}");
}

// The time of day of a node jumps ahead and back while it runs: by itself it hardly follows.
#[test]
fn own_time_does_not_jump() {
    let mut clock = AgreedClock::new();
    for second in 0..20 {
        let jump = if (5..11).contains(&second) { 2_400 } else { 0 };
        let boot = Duration::from_secs(second);
        clock.record_own(DAY + second * 1_000 + jump, boot);
        let now = clock.now(boot).expect("a time");
        assert!(now.abs_diff(DAY + second * 1_000) <= 4, "second {second}");
    }
}

// Three data centres under load for a minute: what the first collector adds up for each window is what was counted,
// whichever messages get lost.
#[test]
fn sums_of_a_fleet_are_what_was_counted() {
    let mut rng = fastrand::Rng::with_seed(5);
    let centres = ["a", "b", "c"];
    let mut nodes: Vec<CountingNode> = (0..15)
        .map(|number| {
            CountingNode::new(
                &format!("node-{number:02}"),
                centres[number % 3],
                number as u64,
            )
        })
        .collect();
    let mut truth: std::collections::BTreeMap<u64, u64> = std::collections::BTreeMap::new();
    for round in 0..600_u64 {
        let boot = Duration::from_millis(round * 100);
        let unix = DAY + round * 100;
        for at in 0..nodes.len() {
            for _ in 0..rng.u32(0..6) {
                let workspace = if rng.bool() { "lab" } else { "clinic" };
                nodes[at].tally.record(workspace, times().window_at(unix));
                *truth.entry(times().window_at(unix)).or_default() += 1;
            }
            let mut tally = std::mem::take(&mut nodes[at].tally);
            nodes[at].table.tick(&mut tally, unix);
            let name = nodes[at].name.clone();
            let (news, to): (_, Vec<usize>) = if at < 3 {
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
            for news in news {
                for to in &to {
                    if rng.u8(0..20) > 0 {
                        nodes[*to].table.receive(&name, news.clone(), boot);
                    }
                }
            }
        }
        let window = times().window_at(unix.saturating_sub(5_000));
        if unix % 5_000 == 4_900 && round > 50 {
            let (counts, _) = nodes[0].table.counts(
                window,
                ["lab", "clinic"].into_iter(),
                &centres.map(DataCentreId::from),
            );
            let sum: u64 = counts.values().sum();
            assert_eq!(Some(&sum), truth.get(&window), "window {window}");
        }
    }
}

// The collectors of three data centres tell each other what they agreed on, ten times a second, and messages take
// a while. Taken for each other's word again and again, the delay would add up, and windows grow longer.
#[test]
fn delays_between_collectors_do_not_add_up() {
    let names = ["node-a", "node-b", "node-c"].map(NodeId::from);
    let mut clocks = [AgreedClock::new(), AgreedClock::new(), AgreedClock::new()];
    for round in 0..600_u64 {
        let sent = Duration::from_millis(round * 100);
        let came = sent + Duration::from_millis(30);
        for clock in &mut clocks {
            clock.record_own(DAY + round * 100, sent);
            clock.update_agreed(sent);
        }
        let news = clocks.each_ref().map(|clock| clock.report(sent));
        for (at, clock) in clocks.iter_mut().enumerate() {
            for (from, news) in news.iter().enumerate().filter(|(from, _)| *from != at) {
                let news = news.expect("a time");
                clock.receive_data_centre(&names[from], &news, 25, came);
            }
        }
    }
    let end = Duration::from_secs(60);
    for clock in &clocks {
        let now = clock.now(end).expect("a time");
        assert!(now.abs_diff(DAY + 60_000) <= 60, "{now}");
    }
}

// Another node begins to collect, and a window is due: all is told again within a round, changed or not.
#[test]
fn new_listener_is_told_all_at_once() {
    let mut node = CountingNode::new("node", "a", 2);
    node.count("lab", 4);
    assert!(!node.tell(0).is_empty());
    let boot = Duration::from_millis(1_100);
    let has_counts = |news: &[UsageUpdate]| {
        let rows = news.iter().map(|news| match news {
            UsageUpdate::Own { rows, .. } | UsageUpdate::DataCentre { rows, .. } => rows.len(),
        });
        rows.sum::<usize>() > 0
    };
    assert!(!has_counts(&node.table.own_updates(&node.tally, DAY, boot)));
    node.table.resend_all();
    assert!(has_counts(&node.table.own_updates(&node.tally, DAY, boot)));
}
