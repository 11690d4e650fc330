//! Metrics of the parts of the policy that a node runs with.

use plumgate::gateway::{PolicyPart, PolicySwitches};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Label of a part of the policy.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct PolicyPartLabels {
    /// Name of the part in settings.
    part: &'static str,
}

/// Parts of the policy that are on.
#[derive(Default)]
pub(crate) struct PolicyMetrics {
    /// 1 for each part that is on, 0 for each that is off.
    parts: Family<PolicyPartLabels, Gauge>,
}

impl PolicyMetrics {
    /// Registers the metrics.
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "policy_part",
            "Whether a part of the policy is on",
            self.parts.clone(),
        );
    }

    /// Sets the gauges of the parts.
    pub(crate) fn set_parts(&self, switches: PolicySwitches) {
        for part in PolicyPart::all() {
            let labels = PolicyPartLabels {
                part: part.as_str(),
            };
            let gauge = self.parts.get_or_create(&labels);
            gauge.set(switches.has(part).into());
        }
    }
}
