//! Log lines and metrics of the profiles of individual servers, and of the groups into which pools are divided.

use super::metrics::PoolLabels;
use super::shared::GatewayShared;
use crate::clock::Clock;
use crate::log::LogLine;

impl<C: Clock, W> GatewayShared<C, W> {
    /// Logs the profiles that changed by a step, and updates the numbers of slow and fast servers.
    pub(crate) fn report_profiles(&self) {
        let mut loads = self.loads();
        let changes = loads.take_profile_changes();
        let counts = loads.profile_counts();
        drop(loads);
        for change in changes {
            LogLine::new("server_profile")
                .with("server", &change.server)
                .with("prefill", change.prefill)
                .with("decode", change.decode)
                .with("weight", format!("{:.1}", change.weight))
                .with("own_weight", format!("{:.1}", change.own_weight))
                .info(&self.log);
        }
        let gauge = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        self.metrics.profiles.slow_servers.set(gauge(counts.slow));
        self.metrics.profiles.fast_servers.set(gauge(counts.fast));
    }

    /// Logs changes of the groups of pools whose servers have few slots, and updates their shares.
    pub(crate) fn report_groups(&self) {
        let changes: Vec<_> = self.loads().take_group_changes().collect();
        for change in changes.iter().filter(|change| change.has_few_slots) {
            let percent = (change.share * 100.0).round() as i64;
            let labels = PoolLabels {
                pool: change.pool.to_string(),
            };
            let shares = &self.metrics.profiles.interactive_shares;
            shares.get_or_create(&labels).set(percent);
            LogLine::new("server_groups")
                .with("pool", &change.pool)
                .with("interactive_percent", percent)
                .with("slot_use", format!("{:.2}", change.slot_use))
                .info(&self.log);
        }
    }
}
