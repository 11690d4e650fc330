//! Synchronization of the store's state, from the nodes that read the store to those that don't.

mod entries;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use plumgate::gateway::{
    ExchangeMoment, LoadExchange, ServerEntry, ServerState, ServerTable, ServerUpdate,
    ServersSnapshot, SourceTopic, StateSnapshot, SyncRequest, SyncResponse, SyncState,
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

fn removed(id: &str) -> ServerUpdate {
    ServerUpdate::Removed {
        id: id.into(),
        unconfirmed: false,
    }
}

/// Returns the state of a node that read the store at a given time.
fn watcher(version: u64, at: Duration) -> SyncState {
    let mut state = SyncState::new(KEY_AGE, version);
    state.set_config(3);
    state.restart_log(version);
    state.record_read(SourceTopic::Config, at);
    state.record_read(SourceTopic::Servers, at);
    state
}

fn request_sync(
    requester: &mut SyncState,
    watcher: &mut SyncState,
    requested_at: Duration,
    received_at: Duration,
) -> SyncResponse {
    let request: SyncRequest = requester.create_request(requested_at);
    watcher.respond(&request, received_at)
}

// Guards against accepting a revoked key for too long. A watcher's response is queued at a machine that is
// suspended for seconds, and looks new when the machine resumes. Its age counts from the time of the request,
// on a clock that includes the suspension.
#[test]
fn delayed_response_is_as_old_as_its_request() {
    let mut watcher = watcher(10, ms(900));
    let mut requester = SyncState::new(KEY_AGE, 1);
    requester.set_config(3);
    let response = request_sync(&mut requester, &mut watcher, ms(1_000), ms(1_100));
    // It arrives four seconds later by the requester's clock; its age still counts from the request.
    let outcome = requester.apply(response, true);
    assert_eq!(
        outcome.config_known_at,
        Some(ms(799)),
        "201 ms before the request"
    );
    let fresh_until = requester.fresh_until(SourceTopic::Config, false);
    assert!(
        fresh_until.is_some_and(|until| until < ms(4_000)),
        "{fresh_until:?}"
    );
}

// Guards against responses of a sender that has not seen this node's request, which could extend the trust in
// keys without end.
#[test]
fn response_without_a_request_is_ignored() {
    let mut watcher = watcher(10, ms(900));
    let mut requester = SyncState::new(KEY_AGE, 1);
    requester.set_config(3);
    requester.create_request(ms(1_000));
    let other_request = SyncState::new(KEY_AGE, 2).create_request(ms(1_000));
    let response = watcher.respond(&other_request, ms(1_000));
    let outcome = requester.apply(response, true);
    assert_eq!(outcome, plumgate::gateway::SyncOutcome::default());
    assert_eq!(requester.fresh_until(SourceTopic::Config, false), None);
}

// Guards against a node that keeps an old configuration because all responses report that the watcher's state
// is recent. A report of a newer version must not extend the trust in the configuration that the node has.
#[test]
fn newer_configuration_has_to_be_read_before_keys_are_trusted() {
    let mut watcher = watcher(10, ms(900));
    let mut requester = SyncState::new(KEY_AGE, 1);
    requester.set_config(2);
    let response = request_sync(&mut requester, &mut watcher, ms(1_000), ms(1_001));
    let outcome = requester.apply(response, true);
    assert_eq!(outcome.config_known_at, None);
    assert!(outcome.must_query);
    assert!(requester.must_read(SourceTopic::Config));
    requester.set_config(3);
    requester.record_read(SourceTopic::Config, ms(1_100));
    let response = request_sync(&mut requester, &mut watcher, ms(1_200), ms(1_201));
    assert!(requester.apply(response, true).config_known_at.is_some());
    assert!(requester.fresh_until(SourceTopic::Config, false).is_some());
}

#[test]
fn changes_of_servers_are_applied_once_and_in_order() {
    let mut first = watcher(10, ms(900));
    let mut requester = watcher(10, ms(800));
    let early = request_sync(&mut requester, &mut first, ms(1_000), ms(1_001));
    first.extend_log(12, vec![entry("a", ServerState::Ready)]);
    first.extend_log(15, vec![entry("a", ServerState::Draining), removed("b")]);
    let late = request_sync(&mut requester, &mut first, ms(1_050), ms(1_051));
    assert_eq!(requester.apply(early, true).changes, Vec::new());
    let received = requester.apply(late.clone(), true).changes;
    assert_eq!(
        received,
        [
            entry("a", ServerState::Ready),
            entry("a", ServerState::Draining),
            removed("b")
        ]
    );
    assert_eq!(requester.servers_version(), Some(15u64.into()));
    // Applied again, as by a delayed message, the changes would restore the server.
    assert_eq!(requester.apply(late, true).changes, Vec::new());
}

#[test]
fn many_changes_arrive_in_several_responses() {
    let mut first = watcher(10, ms(900));
    let mut requester = watcher(10, ms(800));
    for number in 0..100 {
        let name = format!("s{number}");
        first.extend_log(11 + number, vec![entry(&name, ServerState::Ready)]);
    }
    let mut received = 0;
    for round in 0..10 {
        let at = ms(1_000 + round * 100);
        let response = request_sync(&mut requester, &mut first, at, at);
        received += requester.apply(response, true).changes.len();
    }
    assert_eq!(received, 100);
    assert_eq!(requester.servers_version(), Some(110u64.into()));
}

// Guards against requests to a server that has left. The watcher's watch was silent for a second: it returned
// versions beyond a change that it had not delivered, and was then closed. The watcher reads everything
// again, and so must all nodes that continued from its versions.
#[test]
fn restarted_watcher_makes_requesters_read_again() {
    let mut first = watcher(10, ms(900));
    let mut requester = watcher(10, ms(800));
    let response = request_sync(&mut requester, &mut first, ms(1_000), ms(1_001));
    requester.apply(response, true);
    first.extend_log(20, Vec::new());
    let response = request_sync(&mut requester, &mut first, ms(1_100), ms(1_101));
    requester.apply(response, true);
    assert_eq!(requester.servers_version(), Some(20u64.into()));
    first.restart_log(20);
    let response = request_sync(&mut requester, &mut first, ms(1_200), ms(1_201));
    assert!(requester.apply(response, true).must_query);
    assert_eq!(requester.fresh_until(SourceTopic::Servers, false), None);
}

// Guards against reading thousands of entries twice when all nodes of a large fleet start together: each node
// that read shortly before the watcher had to read again. Its own watch reaches the same version at far less
// cost.
#[test]
fn node_that_read_before_the_watcher_continues_its_own_watch() {
    let mut first = watcher(12, ms(900));
    let mut requester = watcher(10, ms(800));
    let response = request_sync(&mut requester, &mut first, ms(1_000), ms(1_001));
    assert!(!requester.apply(response, true).must_query);
    assert!(!requester.must_read(SourceTopic::Servers));
    assert_eq!(requester.fresh_until(SourceTopic::Servers, false), None);
    requester.extend_log(12, vec![removed("a")]);
    let response = request_sync(&mut requester, &mut first, ms(1_100), ms(1_101));
    requester.apply(response, true);
    assert!(requester.fresh_until(SourceTopic::Servers, false).is_some());
}

// Guards against a node that continues to use servers that have left, as it relies on responses although it
// has fallen behind the oldest entry of the change log. It must query the store at once.
#[test]
fn node_that_is_too_far_behind_queries_the_store_at_once() {
    let mut first = watcher(10, ms(900));
    let mut requester = watcher(10, ms(800));
    let response = request_sync(&mut requester, &mut first, ms(950), ms(951));
    requester.apply(response, true);
    assert!(requester.fresh_until(SourceTopic::Servers, false).is_some());
    for number in 0..3_000 {
        first.extend_log(11 + number, vec![removed("a")]);
    }
    let response = request_sync(&mut requester, &mut first, ms(1_000), ms(1_001));
    let outcome = requester.apply(response, true);
    assert_eq!(outcome.changes, Vec::new());
    assert!(outcome.must_query);
    assert!(
        !requester.must_read(SourceTopic::Servers),
        "a watch is enough"
    );
    assert_eq!(requester.fresh_until(SourceTopic::Servers, false), None);
}

/// Returns a table with these servers.
fn table(ids: &[&str]) -> ServerTable {
    let mut table = ServerTable::new();
    for id in ids {
        table.put(server_entry(id));
    }
    table
}

// Guards against callers that wait for half a minute after all nodes were killed at once: nodes that start
// together find better collectors one after another, each with a change log of its own, and would read all
// servers from the store again for each. They get a snapshot from the collector, from their first request on.
#[test]
fn node_that_finds_a_better_collector_gets_a_snapshot_from_it() {
    let mut first = watcher(10, ms(900));
    let mut second = watcher(12, ms(1_500));
    let mut requester = watcher(10, ms(800));
    let response = request_sync(&mut requester, &mut first, ms(1_000), ms(1_000));
    assert!(!requester.apply(response, true).must_query);
    assert!(requester.fresh_until(SourceTopic::Servers, false).is_some());
    let response = request_sync(&mut requester, &mut second, ms(2_000), ms(2_000));
    let outcome = requester.apply(response, true);
    assert!(outcome.config_known_at.is_some());
    assert_eq!(outcome.missing, [SourceTopic::Servers]);
    let snapshot = second.servers_snapshot(&table(&["a", "b"]), ms(2_010));
    let snapshot = snapshot.expect("it knows the servers");
    assert!(requester.apply_servers_snapshot(&snapshot, ms(2_005)));
    assert!(!requester.must_read(SourceTopic::Servers));
    assert_eq!(requester.servers_version(), Some(12u64.into()));
    assert_eq!(
        requester.known_at(SourceTopic::Servers),
        Some(ms(1_494)),
        "as old as the sender's state"
    );
    second.extend_log(13, vec![removed("a")]);
    let response = request_sync(&mut requester, &mut second, ms(2_100), ms(2_100));
    let outcome = requester.apply(response, true);
    assert_eq!(
        outcome.changes,
        [removed("a")],
        "changes since the snapshot"
    );
    assert!(outcome.missing.is_empty());
}

// Guards against a server that has left and gets requests indefinitely: a snapshot requested earlier, of an
// older state, arrives after the change that removed the server. A snapshot that is older than the node's
// state changes nothing, nor does one while a watch is in progress, whose answer would be older than the
// snapshot.
#[test]
fn outdated_snapshot_changes_nothing() {
    let mut old = watcher(10, ms(900));
    let mut requester = watcher(12, ms(800));
    let snapshot = old
        .servers_snapshot(&table(&["a"]), ms(1_000))
        .expect("a snapshot");
    assert!(!requester.apply_servers_snapshot(&snapshot, ms(1_000)));
    assert_eq!(requester.servers_version(), Some(12u64.into()));
    old.extend_log(20, vec![removed("b")]);
    let snapshot = old
        .servers_snapshot(&table(&["a"]), ms(1_000))
        .expect("a snapshot");
    requester.set_watching(true);
    assert!(!requester.apply_servers_snapshot(&snapshot, ms(1_000)));
    requester.set_watching(false);
    assert!(requester.apply_servers_snapshot(&snapshot, ms(1_000)));
    assert_eq!(requester.servers_version(), Some(20u64.into()));
}

// Guards against a node that continues to use servers that have left: it doesn't query the servers while its
// reads of the configuration fail. Once it gets the configuration from other nodes it no longer reads it
// itself, and the last failure must not keep it from querying the servers.
#[test]
fn store_is_no_longer_failing_once_others_report_the_configuration() {
    let mut first = watcher(10, ms(900));
    let mut requester = watcher(10, ms(800));
    let response = request_sync(&mut requester, &mut first, ms(1_000), ms(1_001));
    requester.apply(response, true);
    requester.record_failure(SourceTopic::Config, ms(1_200));
    let response = request_sync(&mut requester, &mut first, ms(1_300), ms(1_301));
    requester.apply(response, true);
    assert!(
        requester.is_failing(SourceTopic::Config),
        "the received state is older"
    );
    first.record_read(SourceTopic::Config, ms(1_400));
    let response = request_sync(&mut requester, &mut first, ms(1_500), ms(1_501));
    requester.apply(response, true);
    assert!(!requester.is_failing(SourceTopic::Config));
    requester.record_failure(SourceTopic::Config, ms(1_600));
    requester.record_read(SourceTopic::Config, ms(1_700));
    assert!(!requester.is_failing(SourceTopic::Config));
}

// Guards against nodes that all call a failing store for both topics as soon as no other node reports its state.
#[test]
fn store_is_unprobed_until_a_call_of_this_node_ends() {
    let mut first = watcher(10, ms(900));
    let mut requester = watcher(10, ms(800));
    let response = request_sync(&mut requester, &mut first, ms(1_000), ms(1_001));
    requester.apply(response, true);
    assert!(requester.is_unprobed(SourceTopic::Config));
    requester.record_failure(SourceTopic::Config, ms(1_200));
    assert!(!requester.is_unprobed(SourceTopic::Config));
    first.record_read(SourceTopic::Config, ms(1_400));
    let response = request_sync(&mut requester, &mut first, ms(1_500), ms(1_501));
    requester.apply(response, true);
    assert!(requester.is_unprobed(SourceTopic::Config));
    requester.record_read(SourceTopic::Config, ms(1_700));
    assert!(!requester.is_unprobed(SourceTopic::Config));
}

// Guards against a node that has read nothing itself and sends an empty list of servers to others.
#[test]
fn node_that_knows_no_servers_sends_no_snapshot() {
    let state = SyncState::new(KEY_AGE, 1);
    assert_eq!(state.servers_snapshot(&ServerTable::new(), ms(1_000)), None);
}

// While a node's own watch is in progress, it receives the same changes from others. Applied twice, older
// changes would follow newer ones and undo them.
#[test]
fn changes_wait_while_a_watch_is_in_progress() {
    let mut first = watcher(10, ms(900));
    let mut requester = watcher(10, ms(800));
    requester.set_watching(true);
    first.extend_log(12, vec![removed("a")]);
    let response = request_sync(&mut requester, &mut first, ms(1_000), ms(1_001));
    assert_eq!(requester.apply(response, true).changes, Vec::new());
    assert_eq!(requester.servers_version(), Some(10u64.into()));
    requester.set_watching(false);
    let response = request_sync(&mut requester, &mut first, ms(1_100), ms(1_101));
    assert_eq!(requester.apply(response, true).changes, [removed("a")]);
}

/// A store, and nodes that follow it as the product does.
struct SyncBench {
    nodes: BTreeMap<SocketAddr, (LoadExchange, SyncState)>,
    down: BTreeSet<SocketAddr>,
    /// Nodes that don't reach the store.
    without_store: BTreeSet<SocketAddr>,
    store_down: bool,
    /// Number of reads of the configuration.
    reads: usize,
    /// Number of reads of the servers.
    server_reads: usize,
    at: Duration,
    start: Instant,
}

impl SyncBench {
    fn new(data_centres: usize, nodes_each: usize) -> Self {
        let entries = node_entries(data_centres, nodes_each);
        let nodes = entries.iter().map(|own| {
            let mut exchange = LoadExchange::new(own.clone());
            exchange.set_nodes(entries.clone());
            (own.address, (exchange, watcher(1, ms(1_000))))
        });
        Self {
            nodes: nodes.collect(),
            down: BTreeSet::new(),
            without_store: BTreeSet::new(),
            store_down: false,
            reads: 0,
            server_reads: 0,
            at: ms(1_000),
            start: Instant::now(),
        }
    }

    /// Runs some rounds. A node whose state is not fresh reads the store, which takes no time.
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
                    let outcome = exchange.receive(&bytes, from, state, moment);
                    outcome.expect("a valid message");
                }
            }
        }
    }

    /// Reads the topics that the node can't get from others in time.
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
            if !self.store_down && !self.without_store.contains(&node) {
                state.record_read(topic, self.at);
            }
        }
    }

    /// Returns the age of the configuration at each running node.
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

    /// Returns whether a node is in the data centre that reads for all.
    fn is_in_first_data_centre(&self, node: SocketAddr) -> bool {
        let position = self.nodes.keys().position(|address| *address == node);
        position.is_some_and(|position| position.is_multiple_of(3))
    }

    fn collectors(&self) -> Vec<SocketAddr> {
        let collecting = self
            .nodes
            .iter()
            .filter(|(_, (exchange, _))| exchange.is_collector());
        collecting.map(|(address, _)| *address).collect()
    }
}

// Calls to the store would grow with the nodes, and the store's rate limits apply to all nodes together: 64
// nodes that each watch make 70 calls a second without any change.
#[test]
fn one_node_reads_for_all() {
    let mut bench = SyncBench::new(3, 21);
    bench.rounds(20);
    bench.reads = 0;
    bench.rounds(50);
    assert_eq!(bench.reads, 50, "one node, once per round");
    let ages = bench.ages();
    assert!(ages.iter().all(|age| *age < ms(600)), "{ages:?}");
}

// Guards against all nodes refusing keys after their watcher crashed. Each must read by itself well before
// its trust in keys expires, and rely on the next watcher after that.
#[test]
fn failed_watcher_is_replaced_before_keys_are_refused() {
    let mut bench = SyncBench::new(3, 6);
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
        "one reader per data centre: {}",
        bench.reads
    );
}

// Guards against each data centre reading for itself for ever: the node that read for all has stopped for
// good and stays registered, and the collectors of the other data centres keep sending it requests. They must
// skip it.
#[test]
fn stopped_watcher_that_stays_registered_is_skipped() {
    let mut bench = SyncBench::new(3, 6);
    bench.rounds(20);
    bench.down = bench
        .collectors()
        .into_iter()
        .filter(|address| bench.is_in_first_data_centre(*address))
        .collect();
    assert_eq!(bench.down.len(), 1);
    bench.rounds(60);
    bench.reads = 0;
    bench.rounds(40);
    assert_eq!(bench.reads, 40, "one node, once per round");
}

// The store refuses the watcher and serves the other nodes. They must not wait for the watcher, whose state
// becomes outdated.
#[test]
fn nodes_do_not_wait_for_a_watcher_without_the_store() {
    let mut bench = SyncBench::new(1, 6);
    bench.rounds(20);
    bench.without_store = bench.collectors().into_iter().collect();
    bench.rounds(40);
    let ages = bench.ages();
    let fresh = ages
        .iter()
        .filter(|age| **age < KEY_AGE.mul_f64(0.5))
        .count();
    assert!(fresh >= 5, "{ages:?}");
}

// Guards against each node of a data centre reading for itself, which makes the store refuse calls, when the
// store refuses their collector and serves the others. The collector reports it, the next one takes over, and
// again only one node reads. The first one returns later, and the role doesn't flap.
#[test]
fn collector_that_the_store_refuses_hands_over() {
    let mut bench = SyncBench::new(2, 40);
    bench.rounds(20);
    let refused = bench.collectors();
    bench.without_store = refused.iter().copied().collect();
    (bench.reads, bench.server_reads) = (0, 0);
    bench.rounds(30);
    let reads = bench.reads + bench.server_reads;
    assert!(reads < 120, "no other node reads meanwhile: {reads}");
    assert!(
        bench
            .collectors()
            .iter()
            .all(|node| !refused.contains(node))
    );
    (bench.reads, bench.server_reads) = (0, 0);
    bench.rounds(40);
    assert_eq!(
        (bench.reads, bench.server_reads),
        (40, 40),
        "one node, once per round"
    );
    let ages = bench.ages();
    assert!(ages.iter().all(|age| *age < ms(600)), "{ages:?}");
}

// Guards against frequent changes of the collectors while the store answers no node: after each change all
// nodes of the data centre get all servers again. Once the store is available again, one node reads for all.
#[test]
fn collectors_stay_while_the_store_answers_no_node() {
    let mut bench = SyncBench::new(2, 40);
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
    assert_eq!(bench.reads, 20, "one node, once per round");
}

/// Guards against a part of a snapshot that is taken for all of it.
#[test]
fn snapshot_that_is_cut_at_any_byte_is_refused() {
    let entries: Vec<_> = (0..3)
        .map(|number| server_entry(&format!("s{number}")))
        .collect();
    let snapshot = StateSnapshot::new(entries, ms(20));
    let bytes = snapshot.encode().expect("a snapshot");
    assert_eq!(StateSnapshot::decode(&bytes), Ok(snapshot));
    for cut in 0..bytes.len() {
        let decoded = StateSnapshot::<Vec<ServerEntry>>::decode(&bytes[..cut]);
        assert!(decoded.is_err(), "cut at {cut}");
    }
}

fn table_of_versions(versions: &[&str]) -> ServerTable {
    let mut servers = ServerTable::new();
    for version in versions {
        servers.put(ServerEntry {
            version: Some((*version).into()),
            ..server_entry(version)
        });
    }
    servers
}

/// Guards against a snapshot whose software versions are lost or shifted, so that a stream goes on at another one.
#[test]
fn snapshot_holds_each_servers_version_or_none() {
    let servers = table_of_versions(&["v1", "v2"]);
    let snapshot = watcher(20, ms(1_000)).servers_snapshot(&servers, ms(1_010));
    let snapshot = snapshot.expect("it knows the servers");
    let bytes = snapshot.encode().expect("a snapshot");
    assert_eq!(ServersSnapshot::decode(&bytes), Ok(snapshot.clone()));
    let cuts = (0..bytes.len()).filter_map(|cut| ServersSnapshot::decode(&bytes[..cut]).ok());
    let cuts: Vec<ServersSnapshot> = cuts.collect();
    assert_eq!(cuts.len(), 1, "as an earlier build sends it");
    let (entries, _) = cuts[0].clone().into_state().into_servers();
    assert!(entries.iter().all(|entry| entry.version.is_none()));
    let (entries, _) = snapshot.into_state().into_servers();
    assert_eq!(entries[1].version.as_deref(), Some("v2"));
}

/// Guards against a node that follows others and does not learn the software versions of servers.
#[test]
fn versions_of_changed_servers_reach_the_nodes_that_follow() {
    let nodes = node_entries(1, 2);
    let mut exchanges: Vec<LoadExchange> = nodes
        .iter()
        .map(|node| {
            let mut exchange = LoadExchange::new(node.clone());
            exchange.set_nodes(nodes.clone());
            exchange
        })
        .collect();
    let mut states = [watcher(10, ms(900)), watcher(10, ms(900))];
    let start = Instant::now();
    let update = ServerUpdate::Entry(ServerEntry {
        version: Some("v2".into()),
        ..server_entry("a")
    });
    let collector = usize::from(!exchanges[0].is_collector());
    states[collector].extend_log(11, vec![update.clone()]);
    let mut received = Vec::new();
    for round in 1..5 {
        let moment = ExchangeMoment {
            now: start + ROUND * round,
            boot: ms(1_000) + ROUND * round,
        };
        for from in 0..2 {
            let packets = exchanges[from].tick(std::iter::empty(), &mut states[from], moment);
            for (_, bytes) in packets {
                let (to, address) = (1 - from, nodes[from].address);
                let outcome = exchanges[to].receive(&bytes, address, &mut states[to], moment);
                received.extend(outcome.expect("a message").changes);
            }
        }
    }
    assert_eq!(received, [update]);
}
