//! Time of day that the nodes agree on.
//!
//! The system time of a single node may jump by seconds. The nodes therefore use the weighted median of the times
//! of all nodes, which a jump on a few of them does not move. Between two updates of the median the time advances
//! with the monotonic clock.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::NodeId;

/// Milliseconds since the Unix epoch.
pub type UnixMillis = u64;

/// Maximum correction of a node's own time towards its system time, in milliseconds per second. It is enough to
/// follow a clock with a drift of 50 in a million, and a jump of seconds that is soon reverted has little effect.
const SLEW_PER_SECOND: f64 = 0.5;
/// Time for which a sample of another node is used. It spans many rounds, so that lost messages have no
/// effect.
const SAMPLE_LIFETIME: Duration = Duration::from_secs(5);

/// Time of day as one node reports it to others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockReport {
    /// Time by the node's own clock alone.
    pub own: UnixMillis,
    /// Median of the node's data centre alone; only a collector has it. Collectors do not send the agreed time to
    /// each other as their sample, since the transit times of the messages would add up.
    pub data_centre: Option<UnixMillis>,
    /// Time agreed on with the other data centres.
    pub agreed: Option<UnixMillis>,
}

/// Sample of another node's clock, as an offset against this node's boot time.
#[derive(Clone, Copy, Debug)]
struct ClockSample {
    offset: i64,
    weight: usize,
    received_at: Duration,
}

/// Estimate of the agreed time of day on one node. Moments are times since the VM started, suspension included.
#[derive(Clone, Debug, Default)]
pub struct AgreedClock {
    /// Offset of the node's own system time against its boot time, with jumps smoothed out.
    own: Option<f64>,
    own_at: Duration,
    data_centre: Option<i64>,
    agreed: Option<i64>,
    /// Samples of the other nodes of this data centre.
    members: HashMap<NodeId, ClockSample>,
    /// Samples of the collectors of other data centres.
    data_centres: HashMap<NodeId, ClockSample>,
}

impl AgreedClock {
    /// Creates a clock without any sample.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the system time of this node; called at regular intervals.
    pub fn record_own(&mut self, unix: UnixMillis, boot: Duration) {
        let offset = offset_of(unix, boot) as f64;
        let Some(own) = self.own else {
            self.own = Some(offset);
            self.own_at = boot;
            return;
        };
        let elapsed = boot.saturating_sub(self.own_at).as_secs_f64();
        let max_change = elapsed * SLEW_PER_SECOND;
        self.own = Some(own + (offset - own).clamp(-max_change, max_change));
        self.own_at = boot;
    }

    /// Records the report of another node of this data centre.
    pub fn receive(&mut self, node: &NodeId, report: &ClockReport, boot: Duration) {
        let sample = ClockSample::new(report.own, 1, boot);
        self.members.insert(node.clone(), sample);
    }

    /// Records the report of the collector of another data centre, weighted by the number of its nodes.
    pub fn receive_data_centre(
        &mut self,
        node: &NodeId,
        report: &ClockReport,
        nodes: usize,
        boot: Duration,
    ) {
        let sample = ClockSample::new(report.data_centre.unwrap_or(report.own), nodes.max(1), boot);
        self.data_centres.insert(node.clone(), sample);
    }

    /// Applies the agreed time that this node's collector reported.
    pub fn apply_agreed(&mut self, report: &ClockReport, boot: Duration) {
        if let Some(agreed) = report.agreed {
            self.agreed = Some(offset_of(agreed, boot));
        }
    }

    /// Recomputes the agreed time as the weighted median of the recent samples; only a collector does this.
    pub fn update_agreed(&mut self, boot: Duration) {
        let is_recent =
            |sample: &ClockSample| boot.saturating_sub(sample.received_at) < SAMPLE_LIFETIME;
        self.members.retain(|_, sample| is_recent(sample));
        self.data_centres.retain(|_, sample| is_recent(sample));
        let own = self.own.map(|own| (own as i64, 1));
        let members = self.members.values().map(ClockSample::weighted).chain(own);
        let members: Vec<(i64, usize)> = members.collect();
        let data_centres = self.data_centres.values().map(ClockSample::weighted);
        let all: Vec<(i64, usize)> = members.iter().copied().chain(data_centres).collect();
        self.data_centre = weighted_median(members);
        self.agreed = weighted_median(all).or(self.agreed);
    }

    /// Returns this node's report, or `None` before its own time is known.
    pub fn report(&self, boot: Duration) -> Option<ClockReport> {
        Some(ClockReport {
            own: unix_at(self.own? as i64, boot),
            data_centre: self
                .data_centre
                .map(|data_centre| unix_at(data_centre, boot)),
            agreed: self.agreed.map(|agreed| unix_at(agreed, boot)),
        })
    }

    /// Returns the offset of the time of day against the boot time in milliseconds, or `None` before any time is
    /// known.
    pub fn offset(&self) -> Option<i64> {
        self.agreed.or(self.own.map(|own| own as i64))
    }

    /// Returns the time of day, or `None` before any time is known.
    pub fn now(&self, boot: Duration) -> Option<UnixMillis> {
        Some(unix_at(self.offset()?, boot))
    }
}

impl ClockSample {
    fn new(unix: UnixMillis, weight: usize, boot: Duration) -> Self {
        Self {
            offset: offset_of(unix, boot),
            weight,
            received_at: boot,
        }
    }

    fn weighted(&self) -> (i64, usize) {
        (self.offset, self.weight)
    }
}

/// Returns the weighted median of offsets, or `None` without any.
fn weighted_median(mut samples: Vec<(i64, usize)>) -> Option<i64> {
    samples.sort_unstable();
    let sum: usize = samples.iter().map(|(_, weight)| weight).sum();
    let mut cumulative = 0;
    let median = samples.iter().find(|(_, weight)| {
        cumulative += weight;
        cumulative >= sum.div_ceil(2)
    });
    median.map(|(offset, _)| *offset)
}

fn offset_of(unix: UnixMillis, boot: Duration) -> i64 {
    let unix = i64::try_from(unix).unwrap_or(i64::MAX);
    unix.saturating_sub(boot_millis(boot))
}

fn unix_at(offset: i64, boot: Duration) -> UnixMillis {
    let unix = offset.saturating_add(boot_millis(boot));
    UnixMillis::try_from(unix).unwrap_or_default()
}

fn boot_millis(boot: Duration) -> i64 {
    i64::try_from(boot.as_millis()).unwrap_or(i64::MAX)
}
