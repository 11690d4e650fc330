//! News of the store, passed on from the nodes that read it to those that don't.

mod entries;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use plumgate::gateway::{
    ExchangeMoment, LoadExchange, ServerEntry, ServerState, ServerTable, ServerUpdate, SourceTopic,
    SyncRequest, SyncResponse, SyncState,
};

use entries::{node_entries, server_entry};

const KEY_AGE: Duration = Duration::from_secs(5);
const ROUND: Duration = Duration::from_millis(100);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn entry(id: &str, state: ServerState) -> ServerUpdate {
    ServerUpdate::Entry(ServerEntry {
        state,
        ..server_entry(id)
    })
}

fn gone(id: &str) -> ServerUpdate {
    ServerUpdate::Gone {
        id: id.into(),
        unconfirmed: false,
    }
}

/// A desk that has read the store at a moment.
fn reader(version: u64, at: Duration) -> SyncState {
    let mut state = SyncState::new(KEY_AGE, version);
    state.set_config(3);
    state.restart_log(version);
    state.record_read(SourceTopic::Config, at);
    state.record_read(SourceTopic::Servers, at);
    state
}

fn ask(
    asker: &mut SyncState,
    reader: &mut SyncState,
    asked: Duration,
    came: Duration,
) -> SyncResponse {
    let question: SyncRequest = asker.create_request(asked);
    reader.respond(&question, came)
}

// A key that was taken away works for too long. The answer of a reader lies in the queue of a machine
// that is suspended for seconds; when the machine wakes, the answer looks new. It must count from the
// moment of the question, on a clock that counted the suspension.
#[test]
fn answer_that_was_held_up_is_as_old_as_its_question() {
    let mut reader = reader(10, ms(900));
    let mut asker = SyncState::new(KEY_AGE, 1);
    asker.set_config(3);
    let answer = ask(&mut asker, &mut reader, ms(1_000), ms(1_100));
    // Four seconds later, by the asker's clock.
    let taken = asker.apply(answer, true);
    assert_eq!(
        taken.config_known_at,
        Some(ms(799)),
        "201 ms before it asked"
    );
    let fresh_until = asker.fresh_until(SourceTopic::Config, false);
    assert!(
        fresh_until.is_some_and(|until| until < ms(4_000)),
        "{fresh_until:?}"
    );
}

// Somebody who has not seen a question sends answers that renew the trust in keys for ever.
#[test]
fn answer_to_no_question_is_not_believed() {
    let mut reader = reader(10, ms(900));
    let mut asker = SyncState::new(KEY_AGE, 1);
    asker.set_config(3);
    asker.create_request(ms(1_000));
    let stranger = SyncState::new(KEY_AGE, 2).create_request(ms(1_000));
    let answer = reader.respond(&stranger, ms(1_000));
    let taken = asker.apply(answer, true);
    assert_eq!(taken, plumgate::gateway::SyncOutcome::default());
    assert_eq!(asker.fresh_until(SourceTopic::Config, false), None);
}

// A node goes on with an old configuration although it is told daily that nothing is older than a
// moment ago. Being told of a newer version must not renew the trust in what is held.
#[test]
fn newer_configuration_has_to_be_read_before_keys_are_trusted() {
    let mut reader = reader(10, ms(900));
    let mut asker = SyncState::new(KEY_AGE, 1);
    asker.set_config(2);
    let answer = ask(&mut asker, &mut reader, ms(1_000), ms(1_001));
    let taken = asker.apply(answer, true);
    assert_eq!(taken.config_known_at, None);
    assert!(taken.must_query);
    assert!(asker.must_read(SourceTopic::Config));
    asker.set_config(3);
    asker.record_read(SourceTopic::Config, ms(1_100));
    let answer = ask(&mut asker, &mut reader, ms(1_200), ms(1_201));
    assert!(asker.apply(answer, true).config_known_at.is_some());
    assert!(asker.fresh_until(SourceTopic::Config, false).is_some());
}

#[test]
fn changes_of_servers_come_once_and_in_order() {
    let mut first = reader(10, ms(900));
    let mut asker = reader(10, ms(800));
    let early = ask(&mut asker, &mut first, ms(1_000), ms(1_001));
    first.extend_log(12, vec![entry("a", ServerState::Ready)]);
    first.extend_log(15, vec![entry("a", ServerState::Draining), gone("b")]);
    let late = ask(&mut asker, &mut first, ms(1_050), ms(1_051));
    assert_eq!(asker.apply(early, true).changes, Vec::new());
    let told = asker.apply(late.clone(), true).changes;
    assert_eq!(
        told,
        [
            entry("a", ServerState::Ready),
            entry("a", ServerState::Draining),
            gone("b")
        ]
    );
    assert_eq!(asker.servers_version(), Some(15u64.into()));
    // Told again, as by a message that was held up, it would bring the server back.
    assert_eq!(asker.apply(late, true).changes, Vec::new());
}

#[test]
fn many_changes_come_in_several_answers() {
    let mut first = reader(10, ms(900));
    let mut asker = reader(10, ms(800));
    for number in 0..100 {
        let name = format!("s{number}");
        first.extend_log(11 + number, vec![entry(&name, ServerState::Ready)]);
    }
    let mut told = 0;
    for round in 0..10 {
        let at = ms(1_000 + round * 100);
        let answer = ask(&mut asker, &mut first, at, at);
        told += asker.apply(answer, true).changes.len();
    }
    assert_eq!(told, 100);
    assert_eq!(asker.servers_version(), Some(110u64.into()));
}

// A node sends requests to a server that has left. The reader's watch was deaf for a second: it gave
// back versions beyond a change that it did not tell, and was cut then. The reader reads all anew and
// so must all that went on from its versions.
#[test]
fn reader_that_starts_anew_has_its_askers_read_too() {
    let mut first = reader(10, ms(900));
    let mut asker = reader(10, ms(800));
    let answer = ask(&mut asker, &mut first, ms(1_000), ms(1_001));
    asker.apply(answer, true);
    first.extend_log(20, Vec::new());
    let answer = ask(&mut asker, &mut first, ms(1_100), ms(1_101));
    asker.apply(answer, true);
    assert_eq!(asker.servers_version(), Some(20u64.into()));
    first.restart_log(20);
    let answer = ask(&mut asker, &mut first, ms(1_200), ms(1_201));
    assert!(asker.apply(answer, true).must_query);
    assert_eq!(asker.fresh_until(SourceTopic::Servers, false), None);
}

// All nodes of a large fleet read thousands of entries twice when they start together: each that read
// a moment before the reader did is told to read anew. Its own watch brings it there for far less.
#[test]
fn node_that_read_before_the_reader_watches_on_until_it_is_told() {
    let mut first = reader(12, ms(900));
    let mut asker = reader(10, ms(800));
    let answer = ask(&mut asker, &mut first, ms(1_000), ms(1_001));
    assert!(!asker.apply(answer, true).must_query);
    assert!(!asker.must_read(SourceTopic::Servers));
    assert_eq!(asker.fresh_until(SourceTopic::Servers, false), None);
    asker.extend_log(12, vec![gone("a")]);
    let answer = ask(&mut asker, &mut first, ms(1_100), ms(1_101));
    asker.apply(answer, true);
    assert!(asker.fresh_until(SourceTopic::Servers, false).is_some());
}

// A node goes on with servers that have left, as it rests on what it is told while it has fallen behind
// all that can be told. It must ask the store at once.
#[test]
fn node_that_is_too_far_behind_asks_the_store_at_once() {
    let mut first = reader(10, ms(900));
    let mut asker = reader(10, ms(800));
    let answer = ask(&mut asker, &mut first, ms(950), ms(951));
    asker.apply(answer, true);
    assert!(asker.fresh_until(SourceTopic::Servers, false).is_some());
    for number in 0..3_000 {
        first.extend_log(11 + number, vec![gone("a")]);
    }
    let answer = ask(&mut asker, &mut first, ms(1_000), ms(1_001));
    let taken = asker.apply(answer, true);
    assert_eq!(taken.changes, Vec::new());
    assert!(taken.must_query);
    assert!(!asker.must_read(SourceTopic::Servers), "a watch is enough");
    assert_eq!(asker.fresh_until(SourceTopic::Servers, false), None);
}

/// A table with these servers.
fn table(ids: &[&str]) -> ServerTable {
    let mut table = ServerTable::new();
    for id in ids {
        table.put(server_entry(id));
    }
    table
}

// After all nodes were killed at once callers wait for half a minute: nodes that start together find
// better collectors one after another, each with a log of its own, and read all servers from the store
// anew for each. They take them from the collector, from their first question on.
#[test]
fn node_that_finds_a_better_collector_takes_all_servers_from_it() {
    let mut first = reader(10, ms(900));
    let mut second = reader(12, ms(1_500));
    let mut asker = reader(10, ms(800));
    let answer = ask(&mut asker, &mut first, ms(1_000), ms(1_000));
    assert!(!asker.apply(answer, true).must_query);
    assert!(asker.fresh_until(SourceTopic::Servers, false).is_some());
    let answer = ask(&mut asker, &mut second, ms(2_000), ms(2_000));
    let taken = asker.apply(answer, true);
    assert!(taken.config_known_at.is_some());
    assert_eq!(taken.missing, [SourceTopic::Servers]);
    let copy = second.servers_snapshot(&table(&["a", "b"]), ms(2_010));
    let copy = copy.expect("it knows the servers");
    assert!(asker.apply_servers_snapshot(&copy, ms(2_005)));
    assert!(!asker.must_read(SourceTopic::Servers));
    assert_eq!(asker.servers_version(), Some(12u64.into()));
    assert_eq!(
        asker.known_at(SourceTopic::Servers),
        Some(ms(1_494)),
        "as old as the giver knows"
    );
    second.extend_log(13, vec![gone("a")]);
    let answer = ask(&mut asker, &mut second, ms(2_100), ms(2_100));
    let taken = asker.apply(answer, true);
    assert_eq!(taken.changes, [gone("a")], "it goes on from there");
    assert!(taken.missing.is_empty());
}

// A server that has left gets requests for good: a node was told that it went, and a copy that was asked
// for before, of an older state, came after. What is older than what is held changes nothing, and neither
// does a copy while a watch is under way, whose answer would be older than the copy.
#[test]
fn overtaken_copy_changes_nothing() {
    let mut old = reader(10, ms(900));
    let mut asker = reader(12, ms(800));
    let copy = old
        .servers_snapshot(&table(&["a"]), ms(1_000))
        .expect("a copy");
    assert!(!asker.apply_servers_snapshot(&copy, ms(1_000)));
    assert_eq!(asker.servers_version(), Some(12u64.into()));
    old.extend_log(20, vec![gone("b")]);
    let copy = old
        .servers_snapshot(&table(&["a"]), ms(1_000))
        .expect("a copy");
    asker.set_watching(true);
    assert!(!asker.apply_servers_snapshot(&copy, ms(1_000)));
    asker.set_watching(false);
    assert!(asker.apply_servers_snapshot(&copy, ms(1_000)));
    assert_eq!(asker.servers_version(), Some(20u64.into()));
}

// A node goes on with servers that have left: it leaves the servers alone while the store does not answer for
// the configuration. Once it is told of the configuration it makes no such calls any more, and that none has
// been answered since must not keep it from asking for the servers.
#[test]
fn store_is_not_lost_any_more_once_others_tell_of_it() {
    let mut first = reader(10, ms(900));
    let mut asker = reader(10, ms(800));
    let answer = ask(&mut asker, &mut first, ms(1_000), ms(1_001));
    asker.apply(answer, true);
    asker.record_failure(SourceTopic::Config, ms(1_200));
    let answer = ask(&mut asker, &mut first, ms(1_300), ms(1_301));
    asker.apply(answer, true);
    assert!(
        asker.is_failing(SourceTopic::Config),
        "what is told is older"
    );
    first.record_read(SourceTopic::Config, ms(1_400));
    let answer = ask(&mut asker, &mut first, ms(1_500), ms(1_501));
    asker.apply(answer, true);
    assert!(!asker.is_failing(SourceTopic::Config));
    asker.record_failure(SourceTopic::Config, ms(1_600));
    asker.record_read(SourceTopic::Config, ms(1_700));
    assert!(!asker.is_failing(SourceTopic::Config));
}

// A node that has read nothing itself must not give an empty fleet to others.
#[test]
fn node_that_knows_no_servers_gives_no_copy() {
    let state = SyncState::new(KEY_AGE, 1);
    assert_eq!(state.servers_snapshot(&ServerTable::new(), ms(1_000)), None);
}

// While a watch of its own is under way, a node is told of the same changes. Taken twice, the older
// ones would come last.
#[test]
fn changes_wait_while_a_watch_is_under_way() {
    let mut first = reader(10, ms(900));
    let mut asker = reader(10, ms(800));
    asker.set_watching(true);
    first.extend_log(12, vec![gone("a")]);
    let answer = ask(&mut asker, &mut first, ms(1_000), ms(1_001));
    assert_eq!(asker.apply(answer, true).changes, Vec::new());
    assert_eq!(asker.servers_version(), Some(10u64.into()));
    asker.set_watching(false);
    let answer = ask(&mut asker, &mut first, ms(1_100), ms(1_101));
    assert_eq!(asker.apply(answer, true).changes, [gone("a")]);
}

/// A store that can be read by whoever reaches it, and nodes that follow it as the product does.
struct ReadingBench {
    nodes: BTreeMap<SocketAddr, (LoadExchange, SyncState)>,
    down: BTreeSet<SocketAddr>,
    /// Nodes that don't reach the store.
    storeless: BTreeSet<SocketAddr>,
    store_down: bool,
    /// Reads of the configuration.
    reads: usize,
    /// Reads of the servers.
    server_reads: usize,
    at: Duration,
    start: Instant,
}

impl ReadingBench {
    fn new(centres: usize, nodes_each: usize) -> Self {
        let entries = node_entries(centres, nodes_each);
        let nodes = entries.iter().map(|own| {
            let mut exchange = LoadExchange::new(own.clone());
            exchange.set_nodes(entries.clone());
            (own.address, (exchange, reader(1, ms(1_000))))
        });
        Self {
            nodes: nodes.collect(),
            down: BTreeSet::new(),
            storeless: BTreeSet::new(),
            store_down: false,
            reads: 0,
            server_reads: 0,
            at: ms(1_000),
            start: Instant::now(),
        }
    }

    /// Plays some rounds; a node that may not rest reads, and that takes no time.
    fn rounds(&mut self, count: usize) {
        for _ in 0..count {
            self.at += ROUND;
            let moment = ExchangeMoment {
                now: self.start + self.at,
                boot: self.at,
            };
            for from in self.nodes.keys().copied().collect::<Vec<_>>() {
                if self.down.contains(&from) {
                    continue;
                }
                self.read(from);
                let (exchange, state) = self.nodes.get_mut(&from).expect("a node");
                let packets = exchange.tick(std::iter::empty(), state, moment);
                for (to, bytes) in packets {
                    if self.down.contains(&to) {
                        continue;
                    }
                    let (exchange, state) = self.nodes.get_mut(&to).expect("a node");
                    let taken = exchange.receive(&bytes, from, state, moment);
                    taken.expect("a message");
                }
            }
        }
    }

    /// Reads what the node may not leave to others.
    fn read(&mut self, node: SocketAddr) {
        for topic in [SourceTopic::Config, SourceTopic::Servers] {
            let (exchange, state) = self.nodes.get_mut(&node).expect("a node");
            let fresh_until = state.fresh_until(topic, exchange.is_collector());
            if fresh_until.is_some_and(|until| self.at < until) {
                continue;
            }
            match topic {
                SourceTopic::Config => self.reads += 1,
                SourceTopic::Servers => self.server_reads += 1,
            }
            if !self.store_down && !self.storeless.contains(&node) {
                state.record_read(topic, self.at);
            }
        }
    }

    /// The age of what each running node knows.
    fn ages(&mut self) -> Vec<Duration> {
        let at = self.at;
        let running = self.nodes.iter_mut();
        let running = running.filter(|(address, _)| !self.down.contains(address));
        let ages = running.map(|(_, (_, state))| {
            let known_at = state.known_at(SourceTopic::Config).expect("it has read");
            at.saturating_sub(known_at)
        });
        ages.collect()
    }

    /// Whether a node is of the data centre that reads for all.
    fn is_first_centre(&self, node: SocketAddr) -> bool {
        let place = self.nodes.keys().position(|address| *address == node);
        place.is_some_and(|place| place.is_multiple_of(3))
    }

    fn collectors(&self) -> Vec<SocketAddr> {
        let collecting = self
            .nodes
            .iter()
            .filter(|(_, (exchange, _))| exchange.is_collector());
        collecting.map(|(address, _)| *address).collect()
    }
}

// Calls to the store grow with the nodes, and the store's rates are for all nodes together: 64 nodes
// that each watch take 70 calls a second without any change.
#[test]
fn one_node_reads_for_all() {
    let mut bench = ReadingBench::new(3, 21);
    bench.rounds(20);
    bench.reads = 0;
    bench.rounds(50);
    assert_eq!(bench.reads, 50, "one node, once a round");
    let ages = bench.ages();
    assert!(ages.iter().all(|age| *age < ms(600)), "{ages:?}");
}

// All nodes refuse keys, as the one that read for them is dead. Each must read by itself well before
// its trust ends, and leave it to the next reader after that.
#[test]
fn dead_reader_is_replaced_before_keys_are_refused() {
    let mut bench = ReadingBench::new(3, 6);
    bench.rounds(20);
    bench.down = bench.collectors().into_iter().collect();
    assert_eq!(bench.down.len(), 3);
    for _ in 0..40 {
        bench.rounds(1);
        let ages = bench.ages();
        let worst = ages.iter().max().expect("nodes");
        assert!(*worst < KEY_AGE.mul_f64(0.6), "{worst:?}");
    }
    bench.reads = 0;
    bench.rounds(20);
    assert!(
        bench.reads <= 3 * 20,
        "a reader a data centre: {}",
        bench.reads
    );
}

// Each data centre reads for itself for ever: the node that read for all is gone for good, stays in the
// register, and the collectors of the other data centres go on asking it. They must pass it over.
#[test]
fn reader_that_is_gone_for_good_is_passed_over() {
    let mut bench = ReadingBench::new(3, 6);
    bench.rounds(20);
    bench.down = bench
        .collectors()
        .into_iter()
        .filter(|address| bench.is_first_centre(*address))
        .collect();
    assert_eq!(bench.down.len(), 1);
    bench.rounds(60);
    bench.reads = 0;
    bench.rounds(40);
    assert_eq!(bench.reads, 40, "one node, once a round");
}

// The store turns the reading node away and serves the others. What it passes on grows old; they must
// not wait for it.
#[test]
fn reader_that_lost_the_store_is_not_waited_for() {
    let mut bench = ReadingBench::new(1, 6);
    bench.rounds(20);
    bench.storeless = bench.collectors().into_iter().collect();
    bench.rounds(40);
    let ages = bench.ages();
    let fresh = ages
        .iter()
        .filter(|age| **age < KEY_AGE.mul_f64(0.5))
        .count();
    assert!(fresh >= 5, "{ages:?}");
}

// The store turns calls away, as each node of a data centre follows it by itself: it refuses their collector
// and serves the others. The collector says so, the next one takes over, and again only one node reads.
// The first comes back later and does not flap.
#[test]
fn collector_that_the_store_turns_away_hands_over() {
    let mut bench = ReadingBench::new(2, 40);
    bench.rounds(20);
    let turned_away = bench.collectors();
    bench.storeless = turned_away.iter().copied().collect();
    (bench.reads, bench.server_reads) = (0, 0);
    bench.rounds(30);
    let reads = bench.reads + bench.server_reads;
    assert!(reads < 120, "nobody else reads meanwhile: {reads}");
    assert!(
        bench
            .collectors()
            .iter()
            .all(|node| !turned_away.contains(node))
    );
    (bench.reads, bench.server_reads) = (0, 0);
    bench.rounds(40);
    assert_eq!(
        (bench.reads, bench.server_reads),
        (40, 40),
        "one node, once a round"
    );
    let ages = bench.ages();
    assert!(ages.iter().all(|age| *age < ms(600)), "{ages:?}");
}

// While the store answers nobody, the collectors must not change again and again: each change has all
// nodes of the data centre take all servers anew. When it is back, one node reads for all.
#[test]
fn collectors_stay_while_the_store_answers_nobody() {
    let mut bench = ReadingBench::new(2, 40);
    bench.rounds(20);
    bench.store_down = true;
    let mut seen: BTreeSet<SocketAddr> = BTreeSet::new();
    for _ in 0..80 {
        bench.rounds(1);
        seen.extend(bench.collectors());
    }
    assert!(seen.len() <= 2 * 3, "{} nodes collected", seen.len());
    bench.store_down = false;
    bench.rounds(10);
    bench.reads = 0;
    bench.rounds(20);
    assert_eq!(bench.reads, 20, "one node, once a round");
}
