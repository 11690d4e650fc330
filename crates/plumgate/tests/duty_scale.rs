//! Orders of servers under a simulated load, with their cost and the late prompts.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use plumgate::duty::{
    CapacityType, DataCentreServers, LoadScaling, LoadScalingOptions, NoScaling, OrderTracker,
    PoolLoad, PoolScaling, ScalePolicy, ScaleSubject,
};
use plumgate::ids::DataCentreId;

/// Prompt tokens that a server prefills in a second.
const SPEED: f64 = 40_000.0;
/// Time from an order until its servers are ready.
const BOOT: Duration = Duration::from_secs(4);
/// Step of the simulated time.
const STEP: Duration = Duration::from_millis(400);
/// Length of the simulated load in steps.
const STEPS: u32 = 150;
/// The data centres.
const DATA_CENTRES: [&str; 3] = ["a", "b", "c"];

fn scaling(reclaimable_price: Option<u32>) -> PoolScaling {
    PoolScaling {
        min: 1,
        max: 60,
        boot: BOOT,
        reclaimable_price,
        data_centre_prices: DATA_CENTRES
            .iter()
            .map(|data_centre| ((*data_centre).into(), 1_000))
            .collect(),
    }
}

/// A policy that keeps the operator's number of servers, whatever the load.
fn fixed_number_policy() -> LoadScaling {
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

/// A pool under load, with its cost and its late prompts.
struct SimPool {
    now: Instant,
    start: Instant,
    servers: BTreeMap<(DataCentreId, CapacityType), SimServers>,
    unavailable_until: BTreeMap<DataCentreId, Instant>,
    tracker: OrderTracker,
    backlog: f64,
    /// Prompt tokens that arrived, and those of them that waited for more than a second.
    tokens: f64,
    late: f64,
    /// Server seconds, with reclaimable servers counted at their price.
    cost: f64,
    orders: u32,
}

impl SimPool {
    fn new(lasting_each: u32) -> Self {
        let start = Instant::now();
        let servers = DATA_CENTRES.iter().map(|data_centre| {
            let servers = SimServers {
                ready: lasting_each,
                ordered: lasting_each,
                ..SimServers::default()
            };
            (((*data_centre).into(), CapacityType::Lasting), servers)
        });
        Self {
            now: start,
            start,
            servers: servers.collect(),
            unavailable_until: BTreeMap::new(),
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
        for data_centre in DATA_CENTRES {
            let of_kind = |kind| {
                let servers = self.servers.get(&(data_centre.into(), kind));
                servers.map_or(0, |servers| servers.ready)
            };
            let counts = DataCentreServers {
                lasting: of_kind(CapacityType::Lasting),
                reclaimable: of_kind(CapacityType::Reclaimable),
            };
            load.data_centres.insert(data_centre.into(), counts);
        }
        load
    }

    /// Reclaims all reclaimable servers of a data centre; none is available there for ten seconds.
    fn reclaim(&mut self, data_centre: &str) {
        let key = (data_centre.into(), CapacityType::Reclaimable);
        self.servers.remove(&key);
        let until = self.now + Duration::from_secs(10);
        self.unavailable_until.insert(data_centre.into(), until);
    }

    fn step(&mut self, policy: &mut impl ScalePolicy, scaling: &PoolScaling, rate: f64) {
        self.now += STEP;
        let seconds = STEP.as_secs_f64();
        self.boot();
        let load = self.load(rate);
        let capacity = f64::from(load.servers()) * SPEED * seconds;
        let arrived = rate * seconds;
        self.tokens += arrived;
        self.backlog = (self.backlog + arrived - capacity).max(0.0);
        if self.backlog > f64::from(load.servers()) * SPEED {
            self.late += arrived;
        }
        let price = f64::from(scaling.reclaimable_price.unwrap_or(1_000)) / 1_000.0;
        for ((_, kind), servers) in &self.servers {
            let each = if *kind == CapacityType::Lasting {
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
        let subject = |data_centre: &DataCentreId, kind| ScaleSubject {
            pool: "models".into(),
            data_centre: data_centre.clone(),
            kind,
        };
        let tracker = self.tracker.clone();
        let is_unavailable =
            |data_centre: &DataCentreId, kind| tracker.is_unavailable(&subject(data_centre, kind));
        for ((data_centre, kind), count) in policy.wanted(scaling, load, &is_unavailable, now) {
            let present = self
                .servers
                .get(&(data_centre.clone(), kind))
                .map_or(0, |servers| servers.ready);
            let subject = subject(&data_centre, kind);
            let Some(order) = self
                .tracker
                .next(&subject, count, present, scaling.boot, now)
            else {
                continue;
            };
            self.orders += 1;
            let lacks_reclaimable = self
                .unavailable_until
                .get(&data_centre)
                .is_some_and(|until| now < *until);
            if kind == CapacityType::Reclaimable && lacks_reclaimable {
                self.tracker.record_unavailable(&subject, now);
                continue;
            }
            self.tracker.record_ordered(&order, now);
            let servers = self.servers.entry((data_centre, kind)).or_default();
            let under_way: u32 = servers.booting.iter().map(|(_, count)| count).sum();
            servers.ordered = order.count;
            servers.ready = servers.ready.min(order.count);
            let missing = order.count.saturating_sub(servers.ready + under_way);
            servers.booting.push((now + BOOT, missing));
        }
    }

    fn elapsed(&self) -> f64 {
        self.now.saturating_duration_since(self.start).as_secs_f64()
    }
}

/// Simulates a steady load with a burst of three times that load every twenty seconds; reclaimable servers
/// are reclaimed twice.
fn simulate(policy: &mut impl ScalePolicy, scaling: &PoolScaling) -> SimPool {
    let mut pool = SimPool::new(30);
    for step in 0..STEPS {
        let rate = match pool.elapsed() {
            elapsed if elapsed < 8.0 => 0.0,
            elapsed if elapsed % 20.0 > 14.0 => 3.6e6,
            _ => 1.2e6,
        };
        if step == 45 || step == 100 {
            pool.reclaim(DATA_CENTRES[step as usize % 2]);
        }
        pool.step(policy, scaling, rate);
    }
    pool
}

// Guards against paying for servers that are idle most of the time: following the load costs less than half,
// and no more prompts are late, though bursts begin faster than servers boot and reclaimable ones are
// reclaimed.
#[test]
fn following_the_load_halves_the_cost() {
    let limits = scaling(Some(180));
    let unscaled = simulate(&mut NoScaling, &limits);
    let scaled = simulate(&mut LoadScaling::default(), &limits);
    assert!(
        scaled.cost < unscaled.cost / 2.0,
        "{:.0} of {:.0}",
        scaled.cost,
        unscaled.cost
    );
    assert!(
        scaled.late <= unscaled.late,
        "{} {}",
        scaled.late,
        unscaled.late
    );
    assert!(scaled.orders < 120, "{} orders", scaled.orders);
}

// Without reclaimable servers the operator's number is the minimum: more are ordered only when the load needs
// them, and never fewer.
#[test]
fn lasting_servers_alone_follow_the_load() {
    let limits = scaling(None);
    let pool = simulate(&mut LoadScaling::default(), &limits);
    assert!(
        pool.late / pool.tokens < 0.01,
        "{}",
        pool.late / pool.tokens
    );
    let lasting = pool.load(0.0).servers();
    assert!((90..=180).contains(&lasting), "{lasting}");
}

// Guards against orders from a partial view: at the start servers write their entries one after another, and
// a new holder sees only some of them. An order of that number would release the rest.
#[test]
fn nothing_is_ordered_from_a_partial_view_of_the_pool() {
    let mut policy = fixed_number_policy();
    let limits = scaling(Some(180));
    let now = Instant::now();
    let none_unavailable = |_: &DataCentreId, _| false;
    let mut load = PoolLoad::default();
    for (step, present) in [4, 16, 30].into_iter().enumerate() {
        for data_centre in DATA_CENTRES {
            let servers = DataCentreServers {
                lasting: present,
                reclaimable: 0,
            };
            load.data_centres.insert(data_centre.into(), servers);
        }
        let at = now + Duration::from_secs(step as u64);
        assert!(
            policy
                .wanted(&limits, &load, &none_unavailable, at)
                .is_empty()
        );
    }
    let later = now + Duration::from_secs(4);
    let wanted = policy.wanted(&limits, &load, &none_unavailable, later);
    let reclaimable = wanted.get(&("a".into(), CapacityType::Reclaimable));
    assert_eq!(reclaimable, Some(&30));
    let lasting = wanted.get(&("a".into(), CapacityType::Lasting));
    assert!(lasting.is_some_and(|count| *count >= 18), "{lasting:?}");
}

// Guards against servers that are released and ordered again because the wanted number fluctuates from one
// evaluation to the next.
#[test]
fn fluctuating_numbers_lead_to_no_orders() {
    let mut tracker = OrderTracker::new();
    let subject = ScaleSubject {
        pool: "models".into(),
        data_centre: "a".into(),
        kind: CapacityType::Lasting,
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

// Guards against lost capacity when all reclaimable servers of one data centre are reclaimed and none is
// available there: the others get as many more, and return to their number once it has some again.
#[test]
fn servers_unavailable_in_one_data_centre_are_ordered_in_the_others() {
    let mut policy = fixed_number_policy();
    let limits = scaling(Some(180));
    let now = Instant::now();
    let mut load = PoolLoad::default();
    for data_centre in DATA_CENTRES {
        let servers = DataCentreServers {
            lasting: 1,
            reclaimable: 29,
        };
        load.data_centres.insert(data_centre.into(), servers);
    }
    let none_unavailable = |_: &DataCentreId, _| false;
    policy.wanted(&limits, &load, &none_unavailable, now);
    let later = now + Duration::from_secs(4);
    let reclaimable = |wanted: &BTreeMap<_, u32>, data_centre: &str| {
        let key = (DataCentreId::from(data_centre), CapacityType::Reclaimable);
        wanted.get(&key).copied()
    };
    let a_unavailable = |data_centre: &DataCentreId, _| **data_centre == *"a";
    let wanted = policy.wanted(&limits, &load, &a_unavailable, later);
    assert_eq!(reclaimable(&wanted, "b"), Some(45));
    assert_eq!(reclaimable(&wanted, "a"), Some(30));
    let wanted = policy.wanted(&limits, &load, &none_unavailable, later);
    assert_eq!(reclaimable(&wanted, "b"), Some(30));
}

// A thousand servers of a data centre are no longer needed. They are released in steps, so that each removal
// reaches all nodes in time.
#[test]
fn many_servers_are_released_in_steps() {
    let mut tracker = OrderTracker::new();
    let subject = ScaleSubject {
        pool: "models".into(),
        data_centre: "a".into(),
        kind: CapacityType::Lasting,
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
