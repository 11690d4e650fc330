//! Nodes that lose their paths to servers, and the requests by which one node opens connections for another.

mod cut_fleet;
mod entries;

use std::time::{Duration, Instant};

use cut_fleet::{CONNECT_TIMEOUT, CutFleet, CutKind, PathCut};
use entries::server_entry;
use plumgate::Error;
use plumgate::gateway::{
    CallerLimits, DirectResult, GatewayConfig, KeyOwner, MAX_TUNNEL_REQUEST_BYTES, PathPlan,
    PathTable, ServerEntry, ServerRef, TunnelGate, TunnelOrder, TunnelReply, TunnelUser,
};
use quickcheck::quickcheck;
use serde::Deserialize;

/// Time between two requests of a node.
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);
/// Time between two checks of periodic work.
const TICK: Duration = Duration::from_millis(100);
/// Length of a schedule.
const LENGTH: Duration = Duration::from_secs(12);
/// Time after which a change of the network must be known.
const SETTLING_TIME: Duration = Duration::from_secs(1);
/// Milliseconds of the Unix epoch.
const UNIX_MS: u64 = 1_790_000_000_000;

/// Sends requests of all nodes to servers in turn; `check` sees each connection.
fn run(fleet: &mut CutFleet, nodes: usize, servers: usize, mut check: impl FnMut(&CutFleet, Call)) {
    let mut at = Duration::ZERO;
    let mut number = 0;
    while at < LENGTH {
        if number % (TICK.as_millis() / REQUEST_INTERVAL.as_millis()) == 0 {
            fleet.tick(at);
        }
        for node in 0..nodes {
            let server = (number as usize * 7 + node * 3) % servers;
            let outcome = fleet.open(node, server, at);
            let call = Call {
                node,
                server,
                at,
                outcome,
            };
            check(fleet, call);
        }
        number += 1;
        at += REQUEST_INTERVAL;
    }
}

/// Connection of a node to a server.
#[derive(Clone, Copy, Debug)]
struct Call {
    node: usize,
    server: usize,
    at: Duration,
    outcome: cut_fleet::OpenOutcome,
}

fn cut(kind: CutKind, nodes: u64, servers: u64) -> PathCut {
    PathCut {
        from: Duration::from_secs(2),
        to: Duration::from_secs(7),
        kind,
        nodes,
        servers,
    }
}

/// Checks that all requests are served, those of cut nodes within one connection timeout.
fn check_served(nodes: usize, servers: usize, cuts: Vec<PathCut>) {
    let mut fleet = CutFleet::new(nodes, servers, cuts);
    run(&mut fleet, nodes, servers, |_, call| {
        assert!(call.outcome.took <= CONNECT_TIMEOUT, "{call:?}");
        assert!(call.outcome.is_open, "{call:?}");
    });
}

/// Guards against refusing callers of a node that is cut off from all servers while others reach them.
#[test]
fn requests_of_a_cut_node_are_served_through_others() {
    for kind in [CutKind::Refuse, CutKind::Hang] {
        check_served(6, 21, vec![cut(kind, 0b000_001, u64::MAX)]);
    }
}

/// Guards against asking only nodes that are cut off too.
#[test]
fn requests_are_served_while_one_node_reaches_the_servers() {
    for cut_nodes in [0b001_001, 0b001_011, 0b011_111] {
        check_served(6, 21, vec![cut(CutKind::Refuse, cut_nodes, u64::MAX)]);
    }
}

/// Guards against requests that wait for one node after another while hanging connections are not yet known.
#[test]
fn hanging_cut_of_most_nodes_is_known_within_a_second() {
    for cut_nodes in [0b001_001, 0b001_011, 0b011_111] {
        let cuts = vec![cut(CutKind::Hang, cut_nodes, u64::MAX)];
        let mut fleet = CutFleet::new(6, 21, cuts);
        let (mut sent, mut served) = (0, 0);
        run(&mut fleet, 6, 21, |fleet, call| {
            let began = Duration::from_secs(2) + SETTLING_TIME;
            if fleet.cut(call.node, call.server, call.at).is_some() && call.at > began {
                sent += 1;
                served += usize::from(call.outcome.is_open);
            }
        });
        assert!(
            served * 100 >= sent * 97,
            "{cut_nodes:b}: {served} of {sent}"
        );
    }
}

/// Guards against a node that stays on tunnels after it reaches the servers again, or returns before.
#[test]
fn direct_connections_return_soon_after_the_cut() {
    let mut fleet = CutFleet::new(6, 21, vec![cut(CutKind::Hang, 1, u64::MAX)]);
    run(&mut fleet, 6, 21, |_, call| {
        let is_cut = (2.0..7.0).contains(&call.at.as_secs_f64());
        let is_over = call.at > Duration::from_secs(7) + 4 * SETTLING_TIME;
        if call.node == 0 && is_cut && call.at > Duration::from_secs(2) + SETTLING_TIME {
            assert!(call.outcome.is_tunnel, "{call:?}");
        }
        if is_over {
            assert!(!call.outcome.is_tunnel, "{call:?}");
        }
    });
    assert!(fleet.probes < 70, "{} probes", fleet.probes);
}

/// Guards against a node that uses and drops its own paths each second while a cut comes and goes.
#[test]
fn flapping_paths_stay_out_of_use() {
    let flaps = (0..5).map(|number| PathCut {
        from: Duration::from_secs(2 * number),
        to: Duration::from_secs(2 * number + 1),
        ..cut(CutKind::Hang, 1, u64::MAX)
    });
    let mut fleet = CutFleet::new(6, 21, flaps.collect());
    let mut late = 0;
    run(&mut fleet, 6, 21, |_, call| {
        assert!(call.outcome.is_open, "{call:?}");
        let is_late = call.outcome.took > Duration::from_millis(20);
        if call.node == 0 && call.at > Duration::from_secs(4) {
            late += usize::from(is_late);
        }
    });
    assert!(
        late < 30,
        "{late} requests waited for a path that was lost again"
    );
}

/// Guards against tunnels, and probes, on a day without cuts.
#[test]
fn sound_network_needs_no_tunnels() {
    let mut fleet = CutFleet::new(6, 21, Vec::new());
    run(&mut fleet, 6, 21, |_, call| {
        assert!(!call.outcome.is_tunnel)
    });
    assert_eq!((fleet.probes, fleet.tunnel_requests), (0, 0));
}

/// Guards against taking a server that is down for everyone for a lost path, and against waiting for it.
#[test]
fn server_that_is_down_for_all_nodes_is_no_lost_path() {
    let mut fleet = CutFleet::new(6, 6, vec![cut(CutKind::Hang, u64::MAX, 0b1)]);
    let mut waited = 0;
    run(&mut fleet, 6, 6, |_, call| {
        let at = call.at.as_secs_f64();
        let is_down = call.server == 0 && (2.0..7.0).contains(&at);
        if call.server == 0 && (6.8..8.5).contains(&at) {
            // The server returns while a connection waits or within the pause after a failure, and nodes that learn
            // it first open connections for others.
            return;
        }
        assert_eq!(call.outcome.is_open, !is_down, "{call:?}");
        assert!(!call.outcome.is_tunnel, "{call:?}");
        waited += usize::from(!call.outcome.took.is_zero() && is_down);
    });
    assert!(waited < 6 * 30, "{waited} requests waited");
}

/// Guards against waiting for servers that no node reaches: the refusal is due at once.
#[test]
fn requests_fail_at_once_when_all_nodes_are_cut_off() {
    let mut fleet = CutFleet::new(6, 6, vec![cut(CutKind::Hang, u64::MAX, u64::MAX)]);
    let (mut sent, mut waited) = (0, 0);
    run(&mut fleet, 6, 6, |_, call| {
        if (3.0..7.0).contains(&call.at.as_secs_f64()) {
            sent += 1;
            waited += usize::from(call.outcome.took > Duration::from_millis(20));
        }
    });
    assert!(waited * 3 < sent, "{waited} of {sent} waited");
}

quickcheck! {
    /// Guards against schedules of overlapping cuts under which a request that some node could serve is refused for long.
    fn overlapping_cuts_leave_requests_served(seed: u64) -> bool {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (nodes, servers) = (rng.usize(2..10), rng.usize(2..24));
        let cuts: Vec<PathCut> = (0..rng.usize(1..4)).map(|_| random_cut(&mut rng)).collect();
        let changes: Vec<Duration> = cuts.iter().flat_map(|cut| [cut.from, cut.to]).collect();
        let mut fleet = CutFleet::new(nodes, servers, cuts);
        let (mut sent, mut refused) = (0, 0);
        run(&mut fleet, nodes, servers, |fleet, call| {
            let has_settled = changes.iter().all(|change| {
                call.at < *change || call.at > *change + SETTLING_TIME
            });
            if has_settled && fleet.is_reachable(call.server, call.at) {
                sent += 1;
                refused += usize::from(!call.outcome.is_open);
            }
        });
        assert!(refused * 20 <= sent, "seed {seed}: {refused} of {sent}");
        true
    }

    /// Guards against arbitrary bytes that are taken for a request of a node.
    fn arbitrary_bytes_are_no_tunnel_request(bytes: Vec<u8>) -> bool {
        gate().open(&bytes, UNIX_MS).is_err()
    }
}

fn random_cut(rng: &mut fastrand::Rng) -> PathCut {
    let from = Duration::from_millis(rng.u64(0..9_000));
    PathCut {
        from,
        to: from + Duration::from_millis(rng.u64(200..6_000)),
        kind: *rng
            .choice(&[CutKind::Refuse, CutKind::Hang])
            .expect("a kind"),
        nodes: rng.u64(..) & rng.u64(..),
        servers: rng.u64(..) | if rng.bool() { u64::MAX } else { 0 },
    }
}

/// Guards against a path that is used again after a single probe by chance, while the node is still cut off.
#[test]
fn cut_off_node_needs_a_connection_of_its_own_to_return() {
    let now = Instant::now();
    let servers: Vec<ServerEntry> = ["a", "b", "c"].map(server_entry).to_vec();
    let mut paths = PathTable::new();
    for server in &servers[..2] {
        paths.record_direct(server, DirectResult::Refused, now);
        paths.record_tunnel(server, true, now);
    }
    assert!(paths.is_cut_off(&servers[0].data_centre));
    assert_eq!(paths.plan(&servers[2], now), PathPlan::Direct, "a scout");
    let tunnel = PathPlan::Tunnel {
        allows_direct: true,
    };
    assert_eq!(paths.plan(&servers[2], now), tunnel);
    paths.record_direct(&servers[2], DirectResult::Opened, now + TICK);
    assert_eq!(paths.plan(&servers[2], now + TICK), PathPlan::Direct);
    assert_ne!(paths.plan(&servers[0], now + TICK), PathPlan::Direct);
}

/// Returns a configuration with these API keys.
fn config(keys: &[&str]) -> GatewayConfig {
    let workspace = KeyOwner {
        workspace: "lab".into(),
        priority: None,
    };
    let keys = keys.iter().map(|key| (*key).to_owned());
    GatewayConfig::new(1, CallerLimits::default()).with_workspace(&workspace, keys)
}

fn gate() -> TunnelGate {
    let mut gate = TunnelGate::new();
    gate.set_config(&config(&["key-1", "key-2"]));
    gate
}

fn sealed(gate: &TunnelGate, nonce: u64) -> Vec<u8> {
    let server = ServerRef::new(&server_entry("s1"));
    gate.seal(server, user(), nonce, UNIX_MS)
        .expect("a request")
}

fn user() -> TunnelUser {
    TunnelUser::new(&"node-1".into(), Some("request-1"))
}

fn order() -> TunnelOrder {
    TunnelOrder {
        server: ServerRef::new(&server_entry("s1")),
        user: Some(user()),
    }
}

/// Guards against requests for tunnels that a caller forges, repeats or keeps for later.
#[test]
fn forged_repeated_and_old_tunnel_requests_are_refused() {
    let mut gate = gate();
    let request = sealed(&gate, 1);
    assert!(request.len() <= MAX_TUNNEL_REQUEST_BYTES);
    let opened = gate.open(&request, UNIX_MS + 1_000);
    assert_eq!(opened, Ok(order()));
    let repeated = gate.open(&request, UNIX_MS + 1_000);
    assert_eq!(repeated, Err(Error::ReplayedMessage));
    let old = gate.open(&sealed(&gate, 2), UNIX_MS + 31_000);
    assert!(matches!(old, Err(Error::StaleMessage(_))), "{old:?}");
    let mut stranger = TunnelGate::new();
    stranger.set_config(&config(&["key-1"]));
    let forged = gate.open(&sealed(&stranger, 3), UNIX_MS);
    assert_eq!(forged, Err(Error::ForgedMessage));
}

/// Guards against truncated or changed requests that are taken for whole ones.
#[test]
fn truncated_and_changed_tunnel_requests_are_refused() {
    let request = sealed(&gate(), 4);
    for length in 0..request.len() {
        assert!(gate().open(&request[..length], UNIX_MS).is_err());
    }
    for position in 0..request.len() {
        let mut changed = request.clone();
        changed[position] ^= 1;
        let opened = gate().open(&changed, UNIX_MS);
        assert!(opened.is_err() || opened == Ok(order()), "byte {position}");
    }
}

/// Guards against the answer of an older build that is taken for an open tunnel.
#[test]
fn answer_of_an_older_build_opens_no_tunnel() {
    assert_eq!(TunnelReply::from_byte(b'H'), None);
    for byte in 0..=u8::MAX {
        if let Some(reply) = TunnelReply::from_byte(byte) {
            assert_eq!(reply.to_byte(), byte);
        }
    }
}

/// Request with nonce 7, as the build without users of tunnels sealed it.
const OLD_REQUEST: [u8; 38] = [
    0x01, 0x24, 0x80, 0xd8, 0xc1, 0xa2, 0x8c, 0x34, 0x02, 0x73, 0x31, 0xd1, 0xe1, 0xa4, 0xaa, 0xf4,
    0xc7, 0xd7, 0x93, 0x9a, 0x01, 0x07, 0x05, 0x1a, 0x87, 0x1e, 0x5f, 0x77, 0x08, 0xf8, 0x5a, 0xa9,
    0xf4, 0xbc, 0x4e, 0x4e, 0xd9, 0xaa,
];

/// Guards against tunnels that a node of the previous build asks for and gets no more.
#[test]
fn tunnel_request_of_the_previous_build_is_understood() {
    let opened = gate().open(&OLD_REQUEST, UNIX_MS);
    let server = ServerRef::new(&server_entry("s1"));
    assert_eq!(opened, Ok(TunnelOrder { server, user: None }));
}

/// Content of a request as the previous build decodes it, with its time.
#[derive(Debug, PartialEq, Deserialize)]
struct OldContent(u64, ServerRef, u64);

/// Guards against requests that nodes of the previous build refuse as malformed.
#[test]
fn tunnel_request_is_understood_by_the_previous_build() {
    let sealed: Vec<Vec<u8>> = postcard::from_bytes(&sealed(&gate(), 7)).expect("a message");
    let content: OldContent = postcard::from_bytes(&sealed[0]).expect("a request");
    let server = ServerRef::new(&server_entry("s1"));
    assert_eq!(content, OldContent(UNIX_MS, server, 7));
}
