//! Which orders engines get to load and unload models.

mod support;

use std::time::{Duration, Instant};

use plumgate::model_placement::{LoadedModels, PlacementPlanner};
use support::config;

fn models(loaded: &[&str]) -> LoadedModels {
    loaded.iter().map(|model| ((*model).into(), true)).collect()
}

#[test]
fn engine_that_said_nothing_lately_gets_no_order() {
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

// Guards against an engine without any model, which serves nobody: the wanted model is loaded before the old
// one is unloaded.
#[test]
fn old_model_goes_after_the_wanted_one_is_there() {
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

// Guards against an order that is lost on its way: the engine still reports that it lacks the model, and the
// order is repeated after a while. The order states the wanted result, so that receiving it twice does no
// harm.
#[test]
fn lost_order_is_given_again() {
    let config = config(1, 1);
    let mut planner = PlacementPlanner::new("here", "m");
    let start = Instant::now();
    let mut given = 0;
    for second in 0..40 {
        let now = start + Duration::from_secs(second);
        planner.observe("s1".into(), models(&[]), now);
        given += u32::from(planner.next_order(&config, now).is_some());
    }
    assert_eq!(given, 3);
}

#[test]
fn loads_keep_their_pace() {
    let config = config(7, 1);
    let mut planner = PlacementPlanner::new("here", "m");
    let start = Instant::now();
    let mut given = Vec::new();
    for second in 0..60 {
        let now = start + Duration::from_secs(second);
        for server in ["s1", "s3", "s5", "s7"] {
            let has = given.iter().any(|(held, _)| held == server);
            planner.observe(server.into(), models(if has { &["m"] } else { &[] }), now);
        }
        if let Some(order) = planner.next_order(&config, now) {
            given.push((order.server.to_string(), second));
        }
    }
    let times: Vec<u64> = given.iter().map(|(_, second)| *second).collect();
    assert_eq!(times, [0, 10, 20, 30], "six a minute by default");
}
