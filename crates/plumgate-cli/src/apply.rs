//! Changes of the configuration: application of whole files, and drains of single servers.

use plumgate::config::{ConfigBundle, FleetConfig, config_changes};
use plumgate::config_follower::ConfigHead;
use plumgate_node::platform::TableRow;

use crate::errors::{Error, Result};
use crate::store::{ApplyOutcome, ConfigStore};

/// Number of attempts at a drain when other changes are applied at the same time.
const MAX_DRAIN_ATTEMPTS: u32 = 5;

/// Validates a bundle. The error lists all findings, not only the first.
pub(crate) fn check(bundle: &ConfigBundle, version: u64) -> Result<FleetConfig> {
    bundle.read(version).map_err(|error| match error {
        plumgate::Error::Findings(findings) => Error::Findings(findings),
        _ => Error::NotApplied,
    })
}

/// Configuration on top of which a change is made.
pub(crate) struct ApplyBase {
    /// The head row.
    pub(crate) head: Option<TableRow<ConfigHead>>,
    /// The bundle of that version; empty if nothing was applied yet.
    pub(crate) bundle: ConfigBundle,
}

impl ApplyBase {
    /// Reads the newest configuration in the store.
    pub(crate) async fn read(store: &ConfigStore) -> Result<Self> {
        let head = store.head().await?;
        let bundle = match &head {
            Some(row) => store.bundle(&row.value).await?,
            None => ConfigBundle::default(),
        };
        Ok(Self { head, bundle })
    }

    /// Returns the version of the configuration, 0 if there is none.
    pub(crate) fn version(&self) -> u64 {
        self.head.as_ref().map_or(0, |row| row.value.version)
    }
}

/// Applies whole files on top of a base; an error if another change was applied since it was read.
pub(crate) async fn apply_files(
    store: &ConfigStore,
    base: &ApplyBase,
    bundle: &ConfigBundle,
    author: &str,
) -> Result<ConfigHead> {
    check(bundle, base.version() + 1)?;
    match store.apply(base.head.as_ref(), bundle, author).await? {
        ApplyOutcome::Accepted(head) => Ok(head),
        ApplyOutcome::Conflict(found) => Err(conflict_error(store, base, found).await),
    }
}

/// Builds the error for an apply that conflicted with another change, and lists what that change did.
pub(crate) async fn conflict_error(
    store: &ConfigStore,
    base: &ApplyBase,
    found: TableRow<ConfigHead>,
) -> Error {
    let changes = changes_since(store, base, &found.value)
        .await
        .unwrap_or_default();
    let listed: String = changes
        .iter()
        .map(|change| format!("\n  {change}"))
        .collect();
    Error::Conflict(found.value.version, found.value.author, listed)
}

async fn changes_since(
    store: &ConfigStore,
    base: &ApplyBase,
    found: &ConfigHead,
) -> Result<Vec<String>> {
    let new = check(&store.bundle(found).await?, found.version)?;
    let Ok(old) = base.bundle.read(base.version()) else {
        return Ok(Vec::new());
    };
    Ok(config_changes(&old, &new)
        .iter()
        .map(ToString::to_string)
        .collect())
}

/// Drains a server, or ends its drain, on top of the newest configuration; applies nothing if the server
/// is in that state already.
pub(crate) async fn set_drained(
    store: &ConfigStore,
    server: &str,
    drained: bool,
    author: &str,
) -> Result<ConfigHead> {
    for _ in 0..MAX_DRAIN_ATTEMPTS {
        let base = ApplyBase::read(store).await?;
        let head = base.head.as_ref().ok_or(Error::NoConfig)?;
        let config = check(&base.bundle, base.version())?;
        if !config.inventory.servers.contains_key(server) {
            return Err(Error::NoServer(server.to_owned()));
        }
        let mut bundle = base.bundle.clone();
        let changed = if drained {
            bundle.drained.insert(server.to_owned())
        } else {
            bundle.drained.remove(server)
        };
        if !changed {
            return Ok(head.value.clone());
        }
        if let ApplyOutcome::Accepted(head) = store.apply(Some(head), &bundle, author).await? {
            return Ok(head);
        }
    }
    Err(Error::NotApplied)
}
