//! One version of the configuration, as stored and as used.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::inventory::{FleetInventory, Server, Workspace, hex, key_digest, read_inventory};
use super::rules::{FleetRules, RequestClass, read_rules};
use crate::errors::{Error, Result};
use crate::findings::{FileFinding, FindingList, nearest_name};
use crate::ids::{ConfigVersion, ServerId, TierRank};

/// Name of the inventory in findings.
pub const INVENTORY_FILE: &str = "inventory.toml";
/// Name of the rules in findings.
pub const RULES_FILE: &str = "rules.toml";

/// Texts of one version, as stored in the object store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigBundle {
    /// Text of the inventory.
    pub inventory: String,
    /// Text of the rules.
    pub rules: String,
    /// Backend servers that an operator drains.
    #[serde(default)]
    pub drained: BTreeSet<String>,
}

impl ConfigBundle {
    /// Creates a bundle of two texts, without drained servers.
    pub fn new(inventory: impl Into<String>, rules: impl Into<String>) -> Self {
        Self {
            inventory: inventory.into(),
            rules: rules.into(),
            drained: BTreeSet::new(),
        }
    }

    /// Returns the bundle with these servers drained.
    pub fn with_drained(mut self, drained: impl IntoIterator<Item = String>) -> Self {
        self.drained = drained.into_iter().collect();
        self
    }

    /// Returns the digest of the bundle, which is also its name in the object store.
    pub fn digest(&self) -> String {
        let body = serde_json::to_vec(self).unwrap_or_default();
        hex(&Sha256::digest(body))
    }

    /// Reads and checks both texts; an error holds all findings.
    pub fn read(&self, version: ConfigVersion) -> Result<FleetConfig> {
        let (rules, mut findings) = read_rules(RULES_FILE, &self.rules);
        let tiers: Vec<&str> = rules.tiers.keys().map(AsRef::as_ref).collect();
        let (inventory, inventory_findings) =
            read_inventory(INVENTORY_FILE, &self.inventory, &tiers);
        findings.extend(inventory_findings);
        let drained = self.read_drained(&inventory, &mut findings);
        if findings.is_empty() {
            Ok(FleetConfig {
                version,
                inventory,
                rules,
                drained,
            })
        } else {
            Err(Error::Findings(findings))
        }
    }

    fn read_drained(
        &self,
        inventory: &FleetInventory,
        findings: &mut FindingList,
    ) -> BTreeSet<ServerId> {
        for name in &self.drained {
            if inventory.servers.contains_key(name.as_str()) {
                continue;
            }
            let known = inventory.servers.keys().map(AsRef::as_ref);
            let mut message = format!("\"{name}\" is not a backend server");
            if let Some(similar) = nearest_name(name, known) {
                message.push_str(&format!("; did you mean \"{similar}\"?"));
            }
            findings.push(FileFinding {
                file: "drained".to_owned(),
                line: None,
                field: String::new(),
                message,
            });
        }
        self.drained
            .iter()
            .map(|name| name.as_str().into())
            .collect()
    }
}

/// Version of the configuration, checked and ready for use.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    /// Version, which only increases.
    pub version: ConfigVersion,
    /// Data centres, backend servers and workspaces.
    pub inventory: FleetInventory,
    /// Tiers, classes, services and limits of a node.
    pub rules: FleetRules,
    /// Servers that an operator drains: they get no new requests.
    pub drained: BTreeSet<ServerId>,
}

impl FleetConfig {
    /// Returns the workspace of an API key.
    ///
    /// The key is looked up by its digest and never compared itself, so that the duration of the look-up
    /// reveals nothing about any key.
    pub fn workspace_of(&self, key: &str) -> Option<&Workspace> {
        use subtle::ConstantTimeEq;
        let digest = key_digest(key);
        let (found, id) = self.inventory.keys.get_key_value(&digest)?;
        let equal: bool = found.as_bytes().ct_eq(digest.as_bytes()).into();
        equal.then(|| self.inventory.workspaces.get(id)).flatten()
    }

    /// Returns the rank of a workspace's request of a class: the lower of the class's tier and the tier
    /// that the workspace pays for.
    pub fn rank_of(&self, workspace: &Workspace, class: &RequestClass) -> TierRank {
        let rank = |tier| {
            self.rules
                .tiers
                .get(tier)
                .map_or(TierRank::MAX, |tier| tier.rank)
        };
        rank(&workspace.tier).max(rank(&class.tier))
    }

    /// Returns the servers of a pool.
    pub fn pool<'a>(&'a self, pool: &'a str) -> impl Iterator<Item = &'a Server> {
        self.inventory
            .servers
            .values()
            .filter(move |server| &*server.pool == pool)
    }
}
