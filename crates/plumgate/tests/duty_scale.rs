//! How many servers are ordered: the load is played, and what callers find is counted.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use plumgate::duty::{
    DataCentreServers, LoadScaling, LoadScalingOptions, NoScaling, OrderTracker, PoolLoad,
    PoolScaling, ScalePolicy, ScaleSubject, ServerKind,
};
use plumgate::ids::DataCentreId;

/// Prompt tokens that a server reads in a second.
const SPEED: f64 = 40_000.0;
/// Time from an order to its servers.
const BOOT: Duration = Duration::from_secs(4);
/// The grain of the simulated time.
const STEP: Duration = Duration::from_millis(400);
/// Length of the played load in steps.
const STEPS: u32 = 150;
/// The data centres.
const SITES: [&str; 3] = ["a", "b", "c"];

fn scaling(reclaimable_price: Option<u32>) -> PoolScaling {
    PoolScaling {
        min: 1,
        max: 60,
        boot: BOOT,
        reclaimable_price,
        data_centre_prices: SITES.iter().map(|site| ((*site).into(), 1_000)).collect(),
    }
}

/// A policy that keeps the operator's number, whatever the load.
fn keeps_the_number() -> LoadScaling {
    let options = LoadScalingOptions {
        floor: 1.0,
        lasting_floor: 0.6,
        ..LoadScalingOptions::default()
    };
    LoadScaling::new(options)
}

/// Servers of one kind in one data centre.
#[derive(Clone, Debug, Default)]
struct SimServers {
    ready: u32,
    booting: Vec<(Instant, u32)>,
    ordered: u32,
}

/// A pool under load, with what it costs and what comes too late.
struct SimPool {
    now: Instant,
    start: Instant,
    servers: BTreeMap<(DataCentreId, ServerKind), SimServers>,
    dry_until: BTreeMap<DataCentreId, Instant>,
    tracker: OrderTracker,
    backlog: f64,
    /// Prompt tokens that came, and those that waited for more than a second.
    tokens: f64,
    late: f64,
    /// Seconds of servers, the cheap ones at their price.
    cost: f64,
    orders: u32,
}

impl SimPool {
    fn new(lasting_each: u32) -> Self {
        let start = Instant::now();
        let servers = SITES.iter().map(|site| {
            let servers = SimServers {
                ready: lasting_each,
                ordered: lasting_each,
                ..SimServers::default()
            };
            (((*site).into(), ServerKind::Lasting), servers)
        });
        Self {
            now: start,
            start,
            servers: servers.collect(),
            dry_until: BTreeMap::new(),
            tracker: OrderTracker::new(),
            backlog: 0.0,
            tokens: 0.0,
            late: 0.0,
            cost: 0.0,
            orders: 0,
        }
    }

    fn load(&self, tokens_per_second: f64) -> PoolLoad {
        let mut load = PoolLoad {
            tokens_per_second,
            pending_prefill_tokens: self.backlog,
            server_speed: SPEED,
            ..PoolLoad::default()
        };
        for site in SITES {
            let of_kind = |kind| {
                let servers = self.servers.get(&(site.into(), kind));
                servers.map_or(0, |servers| servers.ready)
            };
            let site_load = DataCentreServers {
                lasting: of_kind(ServerKind::Lasting),
                reclaimable: of_kind(ServerKind::Reclaimable),
            };
            load.data_centres.insert(site.into(), site_load);
        }
        load
    }

    /// All cheap servers of a data centre are taken away, and none is to be had there for a time.
    fn reclaim(&mut self, site: &str) {
        let key = (site.into(), ServerKind::Reclaimable);
        self.servers.remove(&key);
        let dry = self.now + Duration::from_secs(10);
        self.dry_until.insert(site.into(), dry);
    }

    fn step(&mut self, policy: &mut impl ScalePolicy, scaling: &PoolScaling, rate: f64) {
        self.now += STEP;
        let seconds = STEP.as_secs_f64();
        self.boot();
        let load = self.load(rate);
        let capacity = f64::from(load.servers()) * SPEED * seconds;
        let came = rate * seconds;
        self.tokens += came;
        self.backlog = (self.backlog + came - capacity).max(0.0);
        if self.backlog > f64::from(load.servers()) * SPEED {
            self.late += came;
        }
        let price = f64::from(scaling.reclaimable_price.unwrap_or(1_000)) / 1_000.0;
        for ((_, kind), servers) in &self.servers {
            let each = if *kind == ServerKind::Lasting {
                1.0
            } else {
                price
            };
            self.cost += f64::from(servers.ready) * each * seconds;
        }
        self.order(policy, scaling, &load);
    }

    fn boot(&mut self) {
        let now = self.now;
        for servers in self.servers.values_mut() {
            let (ready, booting): (Vec<_>, Vec<_>) =
                servers.booting.drain(..).partition(|(at, _)| *at <= now);
            servers.booting = booting;
            servers.ready += ready.iter().map(|(_, count)| count).sum::<u32>();
            servers.ready = servers.ready.min(servers.ordered);
        }
    }

    fn order(&mut self, policy: &mut impl ScalePolicy, scaling: &PoolScaling, load: &PoolLoad) {
        let now = self.now;
        let subject = |site: &DataCentreId, kind| ScaleSubject {
            pool: "models".into(),
            data_centre: site.clone(),
            kind,
        };
        let tracker = self.tracker.clone();
        let is_unavailable =
            |site: &DataCentreId, kind| tracker.is_unavailable(&subject(site, kind));
        for ((site, kind), count) in policy.wanted(scaling, load, &is_unavailable, now) {
            let present = self
                .servers
                .get(&(site.clone(), kind))
                .map_or(0, |servers| servers.ready);
            let subject = subject(&site, kind);
            let Some(order) = self
                .tracker
                .next(&subject, count, present, scaling.boot, now)
            else {
                continue;
            };
            self.orders += 1;
            let is_gone = self.dry_until.get(&site).is_some_and(|until| now < *until);
            if kind == ServerKind::Reclaimable && is_gone {
                self.tracker.record_unavailable(&subject, now);
                continue;
            }
            self.tracker.record_ordered(&order, now);
            let servers = self.servers.entry((site, kind)).or_default();
            let under_way: u32 = servers.booting.iter().map(|(_, count)| count).sum();
            servers.ordered = order.count;
            servers.ready = servers.ready.min(order.count);
            let missing = order.count.saturating_sub(servers.ready + under_way);
            servers.booting.push((now + BOOT, missing));
        }
    }

    fn passed(&self) -> f64 {
        self.now.saturating_duration_since(self.start).as_secs_f64()
    }
}

/// A calm load with a burst of three times in the middle of each twenty seconds; cheap servers are taken away twice.
fn play(policy: &mut impl ScalePolicy, scaling: &PoolScaling) -> SimPool {
    let mut pool = SimPool::new(30);
    for step in 0..STEPS {
        let rate = match pool.passed() {
            passed if passed < 8.0 => 0.0,
            passed if passed % 20.0 > 14.0 => 3.6e6,
            _ => 1.2e6,
        };
        if step == 45 || step == 100 {
            pool.reclaim(SITES[step as usize % 2]);
        }
        pool.step(policy, scaling, rate);
    }
    pool
}

// Servers stand idle most of the time. Following the load, they cost less than half, and no more callers wait for
// their prompts to be read, though bursts come faster than servers do and cheap ones are taken away.
#[test]
fn load_is_followed_at_half_of_the_cost() {
    let limits = scaling(Some(180));
    let still = play(&mut NoScaling, &limits);
    let followed = play(&mut LoadScaling::default(), &limits);
    assert!(
        followed.cost < still.cost / 2.0,
        "{:.0} of {:.0}",
        followed.cost,
        still.cost
    );
    assert!(
        followed.late <= still.late,
        "{} {}",
        followed.late,
        still.late
    );
    assert!(followed.orders < 120, "{} orders", followed.orders);
}

// There are no cheap servers: the operator's number stands until the load asks for more, and is not undercut.
#[test]
fn lasting_servers_alone_follow_too() {
    let limits = scaling(None);
    let pool = play(&mut LoadScaling::default(), &limits);
    assert!(
        pool.late / pool.tokens < 0.01,
        "{}",
        pool.late / pool.tokens
    );
    let lasting = pool.load(0.0).servers();
    assert!((90..=180).contains(&lasting), "{lasting}");
}

// At the start servers write their entries one after another, and a new holder sees some of them. Nothing is ordered
// by that, or the rest would be taken away.
#[test]
fn nothing_is_ordered_before_the_pool_was_seen() {
    let mut policy = keeps_the_number();
    let limits = scaling(Some(180));
    let now = Instant::now();
    let no_dry = |_: &DataCentreId, _| false;
    let mut load = PoolLoad::default();
    for (step, present) in [4, 16, 30].into_iter().enumerate() {
        for site in SITES {
            let servers = DataCentreServers {
                lasting: present,
                reclaimable: 0,
            };
            load.data_centres.insert(site.into(), servers);
        }
        let at = now + Duration::from_secs(step as u64);
        assert!(policy.wanted(&limits, &load, &no_dry, at).is_empty());
    }
    let later = now + Duration::from_secs(4);
    let wanted = policy.wanted(&limits, &load, &no_dry, later);
    let cheap = wanted.get(&("a".into(), ServerKind::Reclaimable));
    assert_eq!(cheap, Some(&30));
    let lasting = wanted.get(&("a".into(), ServerKind::Lasting));
    assert!(lasting.is_some_and(|count| *count >= 18), "{lasting:?}");
}

// Wanted numbers waver from look to look: servers are not given back and ordered again for that.
#[test]
fn numbers_that_waver_lead_to_no_orders() {
    let mut tracker = OrderTracker::new();
    let subject = ScaleSubject {
        pool: "models".into(),
        data_centre: "a".into(),
        kind: ServerKind::Lasting,
    };
    let mut now = Instant::now();
    let first = tracker.next(&subject, 20, 10, BOOT, now).expect("an order");
    tracker.record_ordered(&first, now);
    let mut orders = 0;
    for step in 0..100_u32 {
        now += STEP;
        let wanted = 20 - step % 3;
        if let Some(order) = tracker.next(&subject, wanted, 20, BOOT, now) {
            tracker.record_ordered(&order, now);
            orders += 1;
        }
    }
    assert!(orders == 0, "{orders} orders");
}

// All cheap servers of one data centre are taken away, and none is to be had there: the others get as many more, and
// go back once it has some again.
#[test]
fn what_is_dry_in_one_place_is_ordered_in_the_others() {
    let mut policy = keeps_the_number();
    let limits = scaling(Some(180));
    let now = Instant::now();
    let mut load = PoolLoad::default();
    for site in SITES {
        let servers = DataCentreServers {
            lasting: 1,
            reclaimable: 29,
        };
        load.data_centres.insert(site.into(), servers);
    }
    let none_dry = |_: &DataCentreId, _| false;
    policy.wanted(&limits, &load, &none_dry, now);
    let later = now + Duration::from_secs(4);
    let cheap = |wanted: &BTreeMap<_, u32>, site: &str| {
        let key = (DataCentreId::from(site), ServerKind::Reclaimable);
        wanted.get(&key).copied()
    };
    let a_dry = |site: &DataCentreId, _| **site == *"a";
    let wanted = policy.wanted(&limits, &load, &a_dry, later);
    assert_eq!(cheap(&wanted, "b"), Some(45));
    assert_eq!(cheap(&wanted, "a"), Some(30));
    let wanted = policy.wanted(&limits, &load, &none_dry, later);
    assert_eq!(cheap(&wanted, "b"), Some(30));
}

// A thousand servers of a data centre are needed no more. They go in steps: all nodes have to learn of each in time.
#[test]
fn many_servers_are_given_back_in_steps() {
    let mut tracker = OrderTracker::new();
    let subject = ScaleSubject {
        pool: "models".into(),
        data_centre: "a".into(),
        kind: ServerKind::Lasting,
    };
    let mut now = Instant::now();
    let mut present = 1_000;
    while present > 1 {
        now += STEP;
        if let Some(order) = tracker.next(&subject, 1, present, BOOT, now) {
            assert!(present - order.count <= 60, "{present} to {}", order.count);
            tracker.record_ordered(&order, now);
            present = order.count;
        }
    }
}
