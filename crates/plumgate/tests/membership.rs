//! Membership and configuration over a simulated network: nodes discover each other, detect unresponsive nodes
//! and pass on the configuration.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use plumgate::config::ConfigBundle;
use plumgate::config_follower::{ConfigFollower, ConfigHead, FollowAction};
use plumgate::membership::{ListedNode, MemberEvent, MemberTable};
use plumgate::wire::NodeDigest;
use quickcheck::quickcheck;

const STEP: Duration = Duration::from_millis(100);

/// One node with its members and its configuration.
struct FakeNode {
    members: MemberTable,
    follower: ConfigFollower,
    events: Vec<MemberEvent>,
    is_suspended: bool,
}

/// Some nodes and the network between them.
struct FakeNet {
    nodes: Vec<FakeNode>,
    /// Pairs of data centres that can't reach each other.
    cuts: BTreeSet<(usize, usize)>,
    /// Data centres that can't reach the platform.
    without_platform: BTreeSet<usize>,
    head: Option<(ConfigHead, String)>,
    now: Instant,
}

fn address(index: usize) -> String {
    format!("n{index}")
}

impl FakeNet {
    /// Creates nodes in three data centres; each knows the first node of each data centre.
    fn new(count: usize) -> Self {
        let nodes = (0..count).map(|index| {
            let own = NodeDigest {
                node: address(index),
                address: address(index),
                data_centre: format!("dc{}", index % 3),
                incarnation: 1,
                ..NodeDigest::default()
            };
            let seeds = [address(0), address(1), address(2)];
            let members = MemberTable::new(own, seeds, index as u64 + 1);
            FakeNode {
                members,
                follower: ConfigFollower::new(),
                events: Vec::new(),
                is_suspended: false,
            }
        });
        Self {
            nodes: nodes.collect(),
            cuts: BTreeSet::new(),
            without_platform: BTreeSet::new(),
            head: None,
            now: Instant::now(),
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let pair = (from % 3, to % 3);
        !self.nodes[to].is_suspended
            && !self.cuts.contains(&pair)
            && !self.cuts.contains(&(pair.1, pair.0))
    }

    fn cut_off(&mut self, data_centre: usize) {
        for other in 0..3 {
            if other != data_centre {
                self.cuts.insert((data_centre, other));
            }
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        for index in 0..self.nodes.len() {
            if self.nodes[index].is_suspended {
                continue;
            }
            let events = self.nodes[index].members.tick(self.now);
            self.nodes[index].events.extend(events);
            self.gossip(index);
            self.poll(index);
        }
    }

    fn run(&mut self, time: Duration) {
        for _ in 0..time.as_millis() / STEP.as_millis() {
            self.step();
        }
    }

    fn gossip(&mut self, from: usize) {
        let version = self.nodes[from].follower.version();
        self.nodes[from].members.own_mut().config = version;
        let Some(round) = self.nodes[from].members.gossip(self.now) else {
            return;
        };
        for to in 0..self.nodes.len() {
            if round.addresses.contains(&address(to)) && self.reaches(from, to) {
                self.deliver(to, round.digests.clone());
            }
        }
    }

    fn deliver(&mut self, to: usize, digests: Vec<NodeDigest>) {
        for digest in self.nodes[to].members.apply(digests, self.now) {
            let action =
                self.nodes[to]
                    .follower
                    .apply_peer_version(&digest.node, digest.config, self.now);
            let Some(FollowAction::RequestFromPeer(node)) = action else {
                continue;
            };
            let peer: usize = node[1..].parse().expect("a node's number");
            if !self.reaches(to, peer) {
                continue;
            }
            let active = self.nodes[peer].follower.active().cloned();
            if let Some(active) = active {
                self.nodes[to]
                    .follower
                    .apply_bundle(active.version, active.text, None);
            }
        }
    }

    fn poll(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        let chosen = node.members.is_chosen("config-reader", 2);
        let Some(FollowAction::ReadHead) = node.follower.tick(chosen, now) else {
            return;
        };
        if self.without_platform.contains(&(index % 3)) {
            return;
        }
        let Some((head, text)) = &self.head else {
            return;
        };
        if let Some(FollowAction::ReadBundle(head)) = node.follower.apply_head(head.clone(), now) {
            node.follower
                .apply_bundle(head.version, text.clone(), Some(&head.digest));
        }
    }

    fn publish(&mut self, version: u64) {
        let (bundle, text) = bundle(version);
        let head = ConfigHead {
            version,
            digest: bundle.digest(),
            ..ConfigHead::default()
        };
        self.head = Some((head, text));
    }

    fn versions(&self) -> Vec<u64> {
        self.nodes
            .iter()
            .map(|node| node.follower.version())
            .collect()
    }
}

fn bundle(version: u64) -> (ConfigBundle, String) {
    let inventory = format!(
        "[data_centres.here]\nregion = \"r\"\n[servers.s1]\ndata_centre = \"here\"\nmodel = \"m\"\naddress = \"127.0.0.1:1\"\nslots = {version}\n"
    );
    let bundle = ConfigBundle::new(inventory, "[tiers.t]\nrank = 1\n");
    let text = serde_json::to_string(&bundle).expect("a serializable bundle");
    (bundle, text)
}

#[test]
fn all_nodes_discover_each_other() {
    let mut net = FakeNet::new(9);
    net.run(Duration::from_secs(5));
    for node in &net.nodes {
        assert_eq!(node.members.live_count(), 9);
    }
}

// Guards against nodes that stay unknown: sixty nodes are more than one message carries. Sent in the order
// of names, the last digests were hardly ever relayed, and a third of the nodes stayed unknown to the rest:
// their callers' demand and their requests in flight on servers were not counted.
#[test]
fn digests_are_relayed_regardless_of_name_order() {
    let mut net = FakeNet::new(60);
    net.run(Duration::from_secs(20));
    for node in &net.nodes {
        assert_eq!(node.members.live_count(), 60);
    }
}

#[test]
fn unresponsive_node_is_dropped_and_joins_again() {
    let mut net = FakeNet::new(9);
    net.run(Duration::from_secs(5));
    net.nodes[4].is_suspended = true;
    net.nodes[0].events.clear();
    net.run(Duration::from_secs(10));
    assert_eq!(net.nodes[0].members.live_count(), 8);
    net.nodes[4].is_suspended = false;
    net.run(Duration::from_secs(5));
    assert_eq!(net.nodes[0].members.live_count(), 9);
    let expected = [
        MemberEvent::Expired("n4".into()),
        MemberEvent::Joined("n4".into()),
    ];
    assert_eq!(net.nodes[0].events, expected);
}

// Guards against a node that drops all others after a suspension: its VM is suspended for ten seconds, and
// then all others look unresponsive to it, although it was the one that was suspended. Without them it would
// use the whole limit of every workspace, and requests would overload the servers.
#[test]
fn resumed_node_keeps_others_while_its_view_is_stale() {
    let mut net = FakeNet::new(6);
    net.run(Duration::from_secs(5));
    net.nodes[3].is_suspended = true;
    net.run(Duration::from_secs(10));
    net.nodes[3].is_suspended = false;
    net.nodes[3].events.clear();
    net.step();
    let node = &net.nodes[3];
    assert!(
        matches!(node.events[..], [MemberEvent::Suspended(gap)] if gap > Duration::from_secs(9)),
        "{:?}",
        node.events
    );
    assert!(node.members.is_stale(net.now));
    assert_eq!(node.members.live_count(), 6);
    net.run(Duration::from_secs(3));
    assert!(!net.nodes[3].members.is_stale(net.now));
}

#[test]
fn relayed_old_digest_does_not_revive_a_node() {
    let mut net = FakeNet::new(3);
    net.run(Duration::from_secs(3));
    let old = net.nodes[1].members.own().clone();
    net.nodes[1].is_suspended = true;
    net.run(Duration::from_secs(10));
    assert_eq!(net.nodes[0].members.live_count(), 2);
    let now = net.now;
    assert!(net.nodes[0].members.apply(vec![old], now).is_empty());
    assert_eq!(net.nodes[0].members.live_count(), 2);
}

// Guards against giving the share of an unresponsive node to others: the platform lists a node from which
// nothing is received, and which may go on serving while it is cut off. Limits and slots are split as if it
// did.
#[test]
fn listed_node_that_is_unresponsive_keeps_its_share() {
    let mut net = FakeNet::new(2);
    net.run(Duration::from_secs(2));
    let listed = |node: &str, leaving| ListedNode {
        node: node.into(),
        data_centre: "dc2".into(),
        address: "x".into(),
        leaving,
    };
    net.nodes[0]
        .members
        .apply_list(vec![listed("n7", false), listed("n8", true)]);
    let sharing = net.nodes[0].members.sharing_nodes();
    assert_eq!(
        sharing
            .values()
            .map(|group| group.nodes.len())
            .sum::<usize>(),
        3
    );
    assert!(sharing["dc2"].has_unresponsive && !sharing["dc0"].has_unresponsive);
}

// Guards against nodes that stay on an old configuration: their data centre is cut off from the platform but
// not from the other data centres while a change is applied. They get it from their peers and serve by the
// new rules.
#[test]
fn data_centre_without_the_platform_gets_changes_from_peers() {
    let mut net = FakeNet::new(9);
    net.publish(1);
    net.run(Duration::from_secs(5));
    net.without_platform.insert(2);
    net.publish(2);
    net.run(Duration::from_secs(3));
    assert_eq!(net.versions(), [2; 9]);
}

// A data centre is cut off from all others and from the platform while a change is applied. It continues with
// the old version, and adopts the new one once it is connected again.
#[test]
fn isolated_data_centre_keeps_its_version_and_catches_up() {
    let mut net = FakeNet::new(9);
    net.publish(1);
    net.run(Duration::from_secs(5));
    net.cut_off(2);
    net.without_platform.insert(2);
    net.publish(2);
    net.run(Duration::from_secs(20));
    assert_eq!(net.versions(), [2, 2, 1, 2, 2, 1, 2, 2, 1]);
    assert_eq!(net.nodes[2].members.live_count(), 3);
    net.cuts.clear();
    net.run(Duration::from_secs(5));
    assert_eq!(net.versions(), [2; 9]);
    assert_eq!(net.nodes[2].members.live_count(), 9);
}

// Guards against reverting to an old configuration when the store answers with an old head, as a lagging
// replica does.
#[test]
fn stale_head_does_not_revert_the_configuration() {
    let mut net = FakeNet::new(3);
    net.publish(2);
    net.run(Duration::from_secs(3));
    net.publish(1);
    net.run(Duration::from_secs(5));
    assert_eq!(net.versions(), [2; 3]);
}

// A VM is replaced while the platform is down, and at first reaches only a peer with an old version. It
// serves by that one, and upgrades when it reaches a peer with a newer one.
#[test]
fn new_node_adopts_the_highest_version_of_its_peers() {
    let mut follower = ConfigFollower::new();
    let now = Instant::now();
    assert_eq!(
        follower.apply_peer_version("old", 3, now),
        Some(FollowAction::RequestFromPeer("old".into()))
    );
    assert!(matches!(
        follower.apply_bundle(3, bundle(3).1, None),
        Some(FollowAction::Activate { config, .. }) if config.version == 3
    ));
    assert_eq!(
        follower.apply_peer_version("new", 5, now),
        Some(FollowAction::RequestFromPeer("new".into()))
    );
    assert!(matches!(
        follower.apply_bundle(5, bundle(5).1, None),
        Some(FollowAction::Activate { config, .. }) if config.version == 5
    ));
    assert_eq!(follower.apply_peer_version("old", 3, now), None);
    assert_eq!(follower.apply_bundle(3, bundle(3).1, None), None);
    assert_eq!(follower.version(), 5);
}

#[test]
fn invalid_bundle_is_rejected_and_the_old_one_stays_active() {
    let mut follower = ConfigFollower::new();
    follower.apply_bundle(1, bundle(1).1, None);
    for text in ["<html>", "{}", "{\"inventory\":\"[\",\"rules\":\"\"}"] {
        let action = follower.apply_bundle(2, text.to_owned(), None);
        assert!(
            matches!(action, Some(FollowAction::Reject { version: 2, .. })),
            "{text}"
        );
    }
    let action = follower.apply_bundle(2, bundle(2).1, Some("another digest"));
    assert!(matches!(action, Some(FollowAction::Reject { .. })));
    assert_eq!(follower.version(), 1);
}

#[test]
fn patch_of_another_version_is_followed_by_a_bundle_request() {
    let mut follower = ConfigFollower::new();
    follower.apply_bundle(1, bundle(1).1, None);
    let patch = plumgate::wire::TextPatch::between(&bundle(2).1, &bundle(3).1);
    let digest = bundle(3).0.digest();
    let action = follower.apply_patch("peer", 2, 3, &patch, &digest);
    assert_eq!(action, Some(FollowAction::RequestFromPeer("peer".into())));
    let patch = plumgate::wire::TextPatch::between(&bundle(1).1, &bundle(3).1);
    let action = follower.apply_patch("peer", 1, 3, &patch, &digest);
    assert!(matches!(
        action,
        Some(FollowAction::Activate { config, .. }) if config.version == 3
    ));
}

quickcheck! {
    // After partitions, outages, suspensions and changes in any order: no node's version ever decreases, and
    // once all faults are over all nodes have the newest.
    fn versions_never_decrease_and_all_nodes_converge(schedule: Vec<(u8, u8)>) -> bool {
        let mut net = FakeNet::new(6);
        net.publish(1);
        net.run(Duration::from_secs(3));
        let mut version = 1;
        let mut before = net.versions();
        for (what, which) in schedule.into_iter().take(20) {
            let which = usize::from(which) % 3;
            match what % 6 {
                0 => net.cut_off(which),
                1 => net.cuts.clear(),
                2 => { net.without_platform.insert(which); }
                3 => net.without_platform.clear(),
                4 => net.nodes[which].is_suspended = !net.nodes[which].is_suspended,
                _ => { version += 1; net.publish(version); }
            }
            net.run(Duration::from_millis(1500));
            let versions = net.versions();
            if versions.iter().zip(&before).any(|(new, old)| new < old) {
                return false;
            }
            before = versions;
        }
        net.cuts.clear();
        net.without_platform.clear();
        net.nodes.iter_mut().for_each(|node| node.is_suspended = false);
        net.run(Duration::from_secs(20));
        net.versions() == vec![version; 6]
    }
}
