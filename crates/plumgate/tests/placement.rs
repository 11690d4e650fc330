//! Orders to engines to load and unload models.

mod support;

use std::time::{Duration, Instant};

use plumgate::model_placement::{LoadedModels, PlacementPlanner};
use support::config;

fn models(loaded: &[&str]) -> LoadedModels {
    loaded.iter().map(|model| ((*model).into(), true)).collect()
}

#[test]
fn engine_without_a_recent_report_gets_no_order() {
    let config = config(1, 1);
    let mut planner = PlacementPlanner::new("here", "m");
    let now = Instant::now();
    assert_eq!(planner.next_order(&config, now), None);
    planner.observe("s1".into(), models(&[]), now);
    assert_eq!(
        planner.next_order(&config, now + Duration::from_secs(6)),
        None
    );
}

// Guards against an engine without any model, which can serve no request: the wanted model is loaded before
// the old one is unloaded.
#[test]
fn old_model_is_unloaded_after_the_wanted_one_is_loaded() {
    let config = config(1, 1);
    let mut planner = PlacementPlanner::new("here", "m");
    let mut now = Instant::now();
    planner.observe("s1".into(), models(&["old"]), now);
    let order = planner.next_order(&config, now).expect("a load");
    assert_eq!((&*order.model, order.loaded), ("m", true));
    assert_eq!(
        planner.next_order(&config, now),
        None,
        "the load is in progress"
    );
    now += Duration::from_secs(3);
    planner.observe("s1".into(), models(&["old", "m"]), now);
    let order = planner.next_order(&config, now).expect("an unload");
    assert_eq!((&*order.model, order.loaded), ("old", false));
    now += Duration::from_secs(3);
    planner.observe("s1".into(), models(&["m"]), now);
    assert_eq!(planner.next_order(&config, now), None);
}

// Guards against an order that is lost in transit: the engine still reports that it lacks the model, and the
// order is repeated after a while. The order states the wanted result, so that receiving it twice does no
// harm.
#[test]
fn lost_order_is_repeated() {
    let config = config(1, 1);
    let mut planner = PlacementPlanner::new("here", "m");
    let start = Instant::now();
    let mut orders = 0;
    for second in 0..40 {
        let now = start + Duration::from_secs(second);
        planner.observe("s1".into(), models(&[]), now);
        orders += u32::from(planner.next_order(&config, now).is_some());
    }
    assert_eq!(orders, 3);
}

#[test]
fn loads_are_rate_limited() {
    let config = config(7, 1);
    let mut planner = PlacementPlanner::new("here", "m");
    let start = Instant::now();
    let mut orders = Vec::new();
    for second in 0..60 {
        let now = start + Duration::from_secs(second);
        for server in ["s1", "s3", "s5", "s7"] {
            let has = orders.iter().any(|(ordered, _)| ordered == server);
            planner.observe(server.into(), models(if has { &["m"] } else { &[] }), now);
        }
        if let Some(order) = planner.next_order(&config, now) {
            orders.push((order.server.to_string(), second));
        }
    }
    let times: Vec<u64> = orders.iter().map(|(_, second)| *second).collect();
    assert_eq!(times, [0, 10, 20, 30], "six a minute by default");
}
