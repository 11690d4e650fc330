//! Max-min fair division of a capacity.

/// Number of holders with the same demand.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct EqualDemands {
    /// Demand of each.
    pub(crate) demand: f64,
    /// Number of holders, not necessarily whole where it is an estimate.
    pub(crate) count: f64,
}

/// Returns the level up to which each holder is served so that the capacity is used up; `None` if it suffices for all.
pub(crate) fn fair_level(
    demands: impl Iterator<Item = EqualDemands>,
    capacity: f64,
) -> Option<f64> {
    let mut demands: Vec<EqualDemands> = demands.collect();
    demands.sort_by(|a, b| a.demand.total_cmp(&b.demand));
    let mut unserved: f64 = demands.iter().map(|demands| demands.count).sum();
    let mut left = capacity;
    for EqualDemands { demand, count } in demands {
        if demand * unserved > left {
            return Some(left / unserved);
        }
        left -= demand * count;
        unserved -= count;
    }
    None
}
