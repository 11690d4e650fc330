//! Differences between two versions of the configuration.

use std::collections::BTreeMap;
use std::fmt::{self, Debug};

use super::bundle::FleetConfig;

/// Entry that differs between two versions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigChange {
    /// Entry that only the new version has.
    Added(String),
    /// Entry that only the old version has.
    Removed(String),
    /// Entry of both versions: name, old text and new text.
    Changed(String, String, String),
}

impl fmt::Display for ConfigChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Added(name) => write!(f, "+ {name}"),
            Self::Removed(name) => write!(f, "- {name}"),
            Self::Changed(name, old, new) => write!(f, "~ {name}: {old} -> {new}"),
        }
    }
}

/// Returns all entries that differ, by kind and name.
pub fn config_changes(old: &FleetConfig, new: &FleetConfig) -> Vec<ConfigChange> {
    let mut changes = Vec::new();
    compare(
        "data_centres",
        &old.inventory.data_centres,
        &new.inventory.data_centres,
        &mut changes,
    );
    compare(
        "servers",
        &old.inventory.servers,
        &new.inventory.servers,
        &mut changes,
    );
    compare(
        "workspaces",
        &old.inventory.workspaces,
        &new.inventory.workspaces,
        &mut changes,
    );
    compare("keys", &keys(old), &keys(new), &mut changes);
    compare("tiers", &old.rules.tiers, &new.rules.tiers, &mut changes);
    compare(
        "classes",
        &old.rules.classes,
        &new.rules.classes,
        &mut changes,
    );
    compare(
        "services",
        &old.rules.services,
        &new.rules.services,
        &mut changes,
    );
    compare("rules", &settings(old), &settings(new), &mut changes);
    compare("drained", &drained(old), &drained(new), &mut changes);
    changes
}

fn keys(config: &FleetConfig) -> BTreeMap<String, String> {
    let keys = config.inventory.keys.iter();
    keys.map(|(digest, workspace)| (digest.clone(), workspace.to_string()))
        .collect()
}

fn drained(config: &FleetConfig) -> BTreeMap<String, bool> {
    config
        .drained
        .iter()
        .map(|server| (server.to_string(), true))
        .collect()
}

fn settings(config: &FleetConfig) -> BTreeMap<String, String> {
    let rules = &config.rules;
    let setting = |name: &str, value: &dyn Debug| (name.to_owned(), format!("{value:?}"));
    BTreeMap::from([
        setting("default_class", &rules.default_class),
        setting("queue_length", &rules.queue_length),
        setting("longest_wait", &rules.longest_wait),
        setting("key_lifetime", &rules.key_lifetime),
        setting("retry_share", &rules.retry_share),
        setting("progress_timeout", &rules.progress_timeout),
        setting("loads_per_minute", &rules.loads_per_minute),
        setting("burst_reserve", &rules.burst_reserve),
    ])
}

fn compare<K: Ord + fmt::Display, V: Debug + PartialEq>(
    kind: &str,
    old: &BTreeMap<K, V>,
    new: &BTreeMap<K, V>,
    changes: &mut Vec<ConfigChange>,
) {
    for (name, before) in old {
        let path = format!("{kind}.{name}");
        match new.get(name) {
            None => changes.push(ConfigChange::Removed(path)),
            Some(after) if after != before => {
                let (before, after) = (format!("{before:?}"), format!("{after:?}"));
                changes.push(ConfigChange::Changed(path, before, after));
            }
            Some(_) => {}
        }
    }
    let added = new.keys().filter(|name| !old.contains_key(*name));
    changes.extend(added.map(|name| ConfigChange::Added(format!("{kind}.{name}"))));
}
