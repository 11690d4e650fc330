//! Changes of the configuration: whole files, and drains of single servers.

use plumgate::config::{ConfigBundle, FleetConfig, config_changes};
use plumgate::follow::ConfigHead;
use plumgate_node::platform::TableRow;

use crate::errors::{Error, Result};
use crate::store::{Applied, ConfigStore};

/// Times that a drain is tried again after another change came first.
const DRAIN_TRIES: u32 = 5;

/// Checks a bundle; all findings come back together.
pub(crate) fn check(bundle: &ConfigBundle, version: u64) -> Result<FleetConfig> {
    bundle.read(version).map_err(|error| match error {
        plumgate::Error::Findings(findings) => Error::Findings(findings),
        _ => Error::NotApplied,
    })
}

/// What an apply starts from.
pub(crate) struct ApplyBase {
    /// The head row.
    pub(crate) head: Option<TableRow<ConfigHead>>,
    /// The bundle behind it; empty where nothing was applied yet.
    pub(crate) bundle: ConfigBundle,
}

impl ApplyBase {
    /// Reads what is in the store now.
    pub(crate) async fn read(store: &ConfigStore) -> Result<Self> {
        let head = store.head().await?;
        let bundle = match &head {
            Some(row) => store.bundle(&row.value).await?,
            None => ConfigBundle::default(),
        };
        Ok(Self { head, bundle })
    }

    /// The version in the store, 0 for none.
    pub(crate) fn version(&self) -> u64 {
        self.head.as_ref().map_or(0, |row| row.value.version)
    }
}

/// Applies whole files on top of what was read.
pub(crate) async fn apply_files(
    store: &ConfigStore,
    base: &ApplyBase,
    bundle: &ConfigBundle,
    author: &str,
) -> Result<ConfigHead> {
    check(bundle, base.version() + 1)?;
    match store.apply(base.head.as_ref(), bundle, author).await? {
        Applied::Accepted(head) => Ok(head),
        Applied::Raced(found) => Err(raced(store, base, found).await),
    }
}

/// Tells an operator who came second what changed under it.
pub(crate) async fn raced(
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
    Error::Raced(found.value.version, found.value.author, listed)
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

/// Drains a server, or brings it back, on top of whatever is in the store.
pub(crate) async fn set_drained(
    store: &ConfigStore,
    server: &str,
    drained: bool,
    author: &str,
) -> Result<ConfigHead> {
    for _ in 0..DRAIN_TRIES {
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
        if let Applied::Accepted(head) = store.apply(Some(head), &bundle, author).await? {
            return Ok(head);
        }
    }
    Err(Error::NotApplied)
}
