//! Routes, workspaces and the freshness of keys of the gateway.

use std::sync::Arc;
use std::time::Duration;

use plumgate::gateway::{
    CallerLimits, ConfigSnapshot, FreshnessLease, GatewayConfig, GatewayRoute, PoolSplit,
    RepeatKind, RouteMatch, StreamClass, WorkspaceKeys,
};
use quickcheck::quickcheck;

fn route(name: &str, host: &str, prefix: &str) -> GatewayRoute {
    GatewayRoute {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: RepeatKind::Stream,
        timeout: Duration::from_secs(8),
        target: Duration::from_secs(1),
        pause_target: None,
        priority: 0,
        pools: vec![PoolSplit {
            pool: "models".into(),
            weight: 1,
        }],
        max_attempts: 1,
        public: false,
    }
}

fn config(routes: Vec<GatewayRoute>) -> GatewayConfig {
    GatewayConfig::new(7, CallerLimits::default()).with_routes(routes)
}

fn found<'a>(config: &'a GatewayConfig, host: &str, path: &str) -> Option<&'a str> {
    let route = config.route(RouteMatch { host, path })?;
    Some(&route.name)
}

#[test]
fn longest_prefix_of_the_host_wins() {
    let config = config(vec![
        route("short", "a.example", "/x/"),
        route("long", "a.example", "/x/y/"),
        route("other", "b.example", "/x/y/z/"),
    ]);
    assert_eq!(found(&config, "a.example", "/x/y/z/1"), Some("long"));
    assert_eq!(found(&config, "A.Example", "/x/1"), Some("short"));
    assert_eq!(found(&config, "b.example", "/x/1"), None);
    assert_eq!(
        found(&config, "a.example", "/xy"),
        None,
        "a prefix ends with a slash"
    );
}

#[test]
fn weights_split_requests() {
    let mut split = route("split", "a.example", "/");
    split.pools = vec![
        PoolSplit {
            pool: "old".into(),
            weight: 90,
        },
        PoolSplit {
            pool: "new".into(),
            weight: 10,
        },
    ];
    let new =
        (0..1000).filter(|number| split.pool_for(*number).is_some_and(|pool| &**pool == "new"));
    assert_eq!(new.count(), 100);
    split.pools.clear();
    assert_eq!(split.pool_for(1), None);
}

#[test]
fn key_finds_its_workspace_and_only_its() {
    let first = WorkspaceKeys {
        workspace: "first".into(),
        priority: Some(1),
    };
    let config = config(vec![]).with_workspace(&first, ["k1".to_owned(), "k2".to_owned()]);
    assert!(config.needs_keys);
    assert_eq!(config.workspace("k2"), Some(&first));
    assert_eq!(config.workspace("k3"), None);
    assert_eq!(config.workspace(""), None);
}

#[test]
fn workspace_rank_goes_before_route_rank() {
    let mut urgent = route("urgent", "a.example", "/u/");
    urgent.priority = 0;
    let mut bulk = route("bulk", "a.example", "/b/");
    bulk.priority = 2;
    let config = config(vec![urgent.clone(), bulk.clone()]);
    let keys = |priority| WorkspaceKeys {
        workspace: "w".into(),
        priority: Some(priority),
    };
    let of = |route: &GatewayRoute, priority| config.urgency(route, Some(&keys(priority)));
    assert!(
        of(&urgent, 0) < of(&bulk, 0),
        "the route decides within a rank"
    );
    assert!(of(&bulk, 0) < of(&urgent, 1), "the workspace goes first");
    assert_eq!(config.urgency(&bulk, None), 2);
}

#[test]
fn streams_that_bear_no_pause_are_interactive() {
    let with_pause = |name: &str, pause| {
        let mut route = route(name, "a.example", &format!("/{name}/"));
        route.pause_target = Some(Duration::from_millis(pause));
        route
    };
    let caption = with_pause("caption", 200);
    let dossier = with_pause("dossier", 800);
    let config = config(vec![caption.clone(), dossier.clone()]);
    let pool = "models".into();
    assert_eq!(
        config.stream_class(&caption, &pool),
        StreamClass::Interactive
    );
    assert_eq!(config.stream_class(&dossier, &pool), StreamClass::Batch);
    assert_eq!(
        config.stream_class(&dossier, &"elsewhere".into()),
        StreamClass::Interactive,
        "alone in its pool a stream gives way to nobody"
    );
}

// Callers of an urgent route were sent away from servers that went on taking less urgent requests:
// its target is the shortest, so its queue counted as too long first.
#[test]
fn urgent_route_is_not_refused_by_a_shorter_target_than_less_urgent_ones() {
    let with_target = |name: &str, priority, target| {
        let mut route = route(name, "a.example", &format!("/{name}/"));
        route.priority = priority;
        route.target = Duration::from_millis(target);
        route
    };
    let caption = with_target("caption", 0, 300);
    let check = with_target("check", 1, 600);
    let draft = with_target("draft", 2, 1_500);
    let config = config(vec![caption.clone(), check.clone(), draft.clone()]);
    let pool = "models".into();
    let of = |route: &GatewayRoute| config.refusal_target(route, &pool);
    assert!(of(&caption) >= of(&check) && of(&check) >= of(&draft));
    assert_eq!(of(&draft), draft.target);
    assert_eq!(
        config.refusal_target(&check, &"elsewhere".into()),
        check.target
    );
}

// The caller's key was taken away, but the request still runs. The VM was suspended: its steady
// clock stood still, so that what it had read long ago seemed fresh when it went on.
#[test]
fn keys_are_not_trusted_after_a_suspension() {
    let mut lease = FreshnessLease::new(Duration::from_secs(5));
    let asked_at = Duration::from_secs(100);
    assert!(!lease.allows_keys(asked_at), "nothing was read yet");
    lease.renew(asked_at);
    assert!(lease.allows_keys(asked_at + Duration::from_secs(4)));
    assert!(!lease.allows_keys(asked_at + Duration::from_secs(60)));
}

quickcheck! {
    /// Whatever order answers come in, knowledge is never taken for older or newer than the
    /// newest read that was answered, and never trusted beyond its bound.
    fn lease_follows_the_newest_read(asked: Vec<u16>, now: u16) -> bool {
        let longest = Duration::from_millis(5_000);
        let mut lease = FreshnessLease::new(longest);
        for at in &asked {
            lease.renew(Duration::from_millis(u64::from(*at)));
        }
        let now = Duration::from_millis(u64::from(now));
        let newest = asked.iter().max().map(|at| Duration::from_millis(u64::from(*at)));
        let age = newest.map(|newest| now.saturating_sub(newest));
        lease.age(now) == age
            && (!lease.allows_keys(now) || age.is_some_and(|age| age < longest))
            && (!lease.allows_ready(now) || lease.allows_keys(now))
    }
}

// A key that was taken away works for too long at a node that got its configuration from another one. The
// answer lay in a queue for seconds: it counts from the moment of the question, and the giver's own
// knowledge was already old.
#[test]
fn passed_on_configuration_is_as_old_as_its_giver_knows() {
    let held = Arc::new(GatewayConfig::new(7, CallerLimits::default()));
    let copy = ConfigSnapshot::new(held.clone(), Duration::from_millis(1_200));
    let bytes = copy.encode().expect("it is encoded");
    let copy = ConfigSnapshot::decode(&bytes).expect("it is decoded");
    assert_eq!(*copy.state(), held);
    let known_at = copy.known_at(Duration::from_secs(10));
    assert_eq!(known_at, Some(Duration::from_millis(8_799)));
    assert_eq!(
        copy.known_at(Duration::from_secs(1)),
        None,
        "before the VM started"
    );
    assert!(ConfigSnapshot::decode(&bytes[..bytes.len() / 2]).is_err());
}

#[test]
fn passed_on_configuration_routes_as_the_one_that_was_read() {
    let workspace = WorkspaceKeys {
        workspace: "norte".into(),
        priority: Some(1),
    };
    let routes = vec![route("a", "a.example", "/x/"), route("b", "b.example", "/")];
    let held = config(routes).with_workspace(&workspace, ["k1".to_owned()]);
    let bytes = ConfigSnapshot::new(Arc::new(held.clone()), Duration::ZERO).encode();
    let copy = ConfigSnapshot::decode(&bytes.expect("it is encoded")).expect("it is decoded");
    assert_eq!(**copy.state(), held);
}
