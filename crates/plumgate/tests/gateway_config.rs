//! Routes, workspaces and the freshness of keys of the gateway.

use std::sync::Arc;
use std::time::Duration;

use plumgate::gateway::{
    CallerLimits, ConfigSnapshot, EngineLimits, FreshnessLease, GatewayConfig, GatewayRoute,
    KeyOwner, PoolSplit, RepeatKind, RouteMatch, StreamClass,
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

fn matched_route<'a>(config: &'a GatewayConfig, host: &str, path: &str) -> Option<&'a str> {
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
    assert_eq!(
        matched_route(&config, "a.example", "/x/y/z/1"),
        Some("long")
    );
    assert_eq!(matched_route(&config, "A.Example", "/x/1"), Some("short"));
    assert_eq!(matched_route(&config, "b.example", "/x/1"), None);
    assert_eq!(
        matched_route(&config, "a.example", "/xy"),
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
fn key_identifies_only_its_own_workspace() {
    let first = KeyOwner {
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
fn workspace_priority_precedes_route_priority() {
    let mut urgent = route("urgent", "a.example", "/u/");
    urgent.priority = 0;
    let mut bulk = route("bulk", "a.example", "/b/");
    bulk.priority = 2;
    let config = config(vec![urgent.clone(), bulk.clone()]);
    let owner = |priority| KeyOwner {
        workspace: "w".into(),
        priority: Some(priority),
    };
    let urgency_of = |route: &GatewayRoute, priority| config.urgency(route, Some(&owner(priority)));
    assert!(
        urgency_of(&urgent, 0) < urgency_of(&bulk, 0),
        "routes decide within a priority of workspaces"
    );
    assert!(
        urgency_of(&bulk, 0) < urgency_of(&urgent, 1),
        "the workspace's priority counts first"
    );
    assert_eq!(config.urgency(&bulk, None), 2);
}

#[test]
fn streams_with_a_short_pause_target_are_interactive() {
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
        "a stream that is alone in its pool has no other to yield to"
    );
}

// Guards against refusing callers of an urgent route at servers that still accept less urgent requests: the
// urgent route has the shortest target, so its queue would count as too long first.
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
    let target_of = |route: &GatewayRoute| config.refusal_target(route, &pool);
    assert!(target_of(&caption) >= target_of(&check) && target_of(&check) >= target_of(&draft));
    assert_eq!(target_of(&draft), draft.target);
    assert_eq!(
        config.refusal_target(&check, &"elsewhere".into()),
        check.target
    );
}

// Guards against accepting a revoked key after a suspension of the VM: its monotonic clock stops meanwhile,
// so that a configuration read long before looks fresh when the VM resumes.
#[test]
fn keys_are_not_trusted_after_a_suspension() {
    let mut lease = FreshnessLease::new(Duration::from_secs(5));
    let requested_at = Duration::from_secs(100);
    assert!(
        !lease.allows_keys(requested_at),
        "no configuration was read yet"
    );
    lease.renew(requested_at);
    assert!(lease.allows_keys(requested_at + Duration::from_secs(4)));
    assert!(!lease.allows_keys(requested_at + Duration::from_secs(60)));
}

quickcheck! {
    /// In whatever order answers arrive, the age is that of the newest answered read, and keys are never
    /// trusted beyond the bound.
    fn lease_follows_the_newest_read(requests: Vec<u16>, now: u16) -> bool {
        let longest = Duration::from_millis(5_000);
        let mut lease = FreshnessLease::new(longest);
        for at in &requests {
            lease.renew(Duration::from_millis(u64::from(*at)));
        }
        let now = Duration::from_millis(u64::from(now));
        let newest = requests.iter().max().map(|at| Duration::from_millis(u64::from(*at)));
        let age = newest.map(|newest| now.saturating_sub(newest));
        lease.age(now) == age
            && (!lease.allows_keys(now) || age.is_some_and(|age| age < longest))
            && (!lease.allows_ready(now) || lease.allows_keys(now))
    }
}

// Guards against accepting a revoked key at a node that got its configuration from another node. The answer
// was queued for seconds: its age counts from the time of the request, and includes the age of the sender's
// own state.
#[test]
fn forwarded_configuration_includes_the_age_at_its_sender() {
    let original = Arc::new(GatewayConfig::new(7, CallerLimits::default()));
    let snapshot = ConfigSnapshot::new(original.clone(), Duration::from_millis(1_200));
    let bytes = snapshot.encode().expect("it is encoded");
    let snapshot = ConfigSnapshot::decode(&bytes).expect("it is decoded");
    assert_eq!(*snapshot.state(), original);
    let known_at = snapshot.known_at(Duration::from_secs(10));
    assert_eq!(known_at, Some(Duration::from_millis(8_799)));
    assert_eq!(
        snapshot.known_at(Duration::from_secs(1)),
        None,
        "before the VM started"
    );
    assert!(ConfigSnapshot::decode(&bytes[..bytes.len() / 2]).is_err());
}

#[test]
fn forwarded_configuration_equals_the_original() {
    let workspace = KeyOwner {
        workspace: "norte".into(),
        priority: Some(1),
    };
    let routes = vec![route("a", "a.example", "/x/"), route("b", "b.example", "/")];
    let limits = EngineLimits {
        slots: 16,
        memory_tokens: 595_267,
    };
    let original = config(routes)
        .with_workspace(&workspace, ["k1".to_owned()])
        .with_engine("models".into(), limits);
    let bytes = ConfigSnapshot::new(Arc::new(original.clone()), Duration::ZERO).encode();
    let snapshot = ConfigSnapshot::decode(&bytes.expect("it is encoded")).expect("it is decoded");
    assert_eq!(**snapshot.state(), original);
}
