//! Configuration in the platform's store: a head row, a row for each replaced version, and bundles as objects.

use std::net::SocketAddr;

use plumgate::config::ConfigBundle;
use plumgate::config_follower::ConfigHead;
use plumgate_node::platform::{
    CONFIG_HEAD, CONFIG_TABLE, PlatformClient, TableRow, WriteAnswer, WriteCondition,
};
use plumgate_node::{Clock, SystemClock};

use crate::errors::{Error, Result};

/// Number of attempts at a write that was refused or got no answer.
const MAX_ATTEMPTS: u32 = 5;

/// Access to the configuration in the platform's store.
pub(crate) struct ConfigStore {
    platform: PlatformClient<SystemClock>,
}

impl ConfigStore {
    /// Creates the access to the store of the platform at an address.
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            platform: PlatformClient::new(address, SystemClock),
        }
    }

    /// Reads the head row; `None` if nothing was applied yet.
    pub(crate) async fn head(&self) -> Result<Option<TableRow<ConfigHead>>> {
        self.platform
            .read_row(CONFIG_TABLE, CONFIG_HEAD)
            .await
            .map_err(|_| Error::NotApplied)
    }

    /// Reads the bundle of a head.
    pub(crate) async fn bundle(&self, head: &ConfigHead) -> Result<ConfigBundle> {
        let object = self
            .platform
            .read_object(&head.digest)
            .await
            .map_err(|_| Error::NotApplied)?;
        let bytes = object.ok_or(Error::NoVersion(head.version))?;
        serde_json::from_slice(&bytes).map_err(|_| Error::NoVersion(head.version))
    }

    /// Reads the head of a version; `None` if there is no such version.
    pub(crate) async fn version(&self, version: u64) -> Result<Option<ConfigHead>> {
        if let Some(head) = self.head().await?
            && head.value.version == version
        {
            return Ok(Some(head.value));
        }
        let row = self
            .platform
            .read_row(CONFIG_TABLE, &version_row(version))
            .await;
        let row: Option<TableRow<ConfigHead>> = row.map_err(|_| Error::NotApplied)?;
        Ok(row.map(|row| row.value))
    }

    /// Writes the next version on top of a head; returns the present head if that is another one.
    pub(crate) async fn apply(
        &self,
        base: Option<&TableRow<ConfigHead>>,
        bundle: &ConfigBundle,
        author: &str,
    ) -> Result<ApplyOutcome> {
        let digest = bundle.digest();
        let body = serde_json::to_vec(bundle).unwrap_or_default();
        if !self.platform.write_object(&digest, body.into(), None).await {
            return Err(Error::NotApplied);
        }
        self.store_version(base).await?;
        let version = base.map_or(0, |row| row.value.version) + 1;
        let made_ms = SystemClock.unix_ms();
        let change = format!("{made_ms:x}-{:08x}", fastrand::u32(..));
        let head = ConfigHead {
            version,
            digest,
            change,
            author: author.to_owned(),
            made_ms,
        };
        self.write_head(base.map(|row| row.version), head).await
    }

    /// Writes the row of the version that is about to be replaced. Every apply does this first, so that no
    /// version is missing from the history even if an earlier apply was interrupted.
    async fn store_version(&self, base: Option<&TableRow<ConfigHead>>) -> Result<()> {
        let Some(base) = base else { return Ok(()) };
        let row = version_row(base.value.version);
        for _ in 0..MAX_ATTEMPTS {
            let condition = WriteCondition::Absent;
            match self
                .platform
                .write_row(CONFIG_TABLE, &row, &base.value, condition, None)
                .await
            {
                WriteAnswer::Written(_) | WriteAnswer::Conflict(_) => return Ok(()),
                WriteAnswer::Refused | WriteAnswer::Unanswered => {}
            }
        }
        Err(Error::NotApplied)
    }

    async fn write_head(&self, base: Option<u64>, head: ConfigHead) -> Result<ApplyOutcome> {
        let mut in_doubt = false;
        for _ in 0..MAX_ATTEMPTS {
            let condition = WriteCondition::new(base);
            let answer = self
                .platform
                .write_row(CONFIG_TABLE, CONFIG_HEAD, &head, condition, None)
                .await;
            match answer {
                WriteAnswer::Written(_) => return Ok(ApplyOutcome::Accepted(head)),
                WriteAnswer::Conflict(found) => return self.resolve_conflict(head, found).await,
                WriteAnswer::Refused => {}
                // The next attempt resolves it: it takes effect, or conflicts with the effect of this one.
                WriteAnswer::Unanswered => in_doubt = true,
            }
        }
        if in_doubt {
            Err(Error::InDoubt(head.change))
        } else {
            Err(Error::NotApplied)
        }
    }

    /// Resolves a conflict, which may be with this change's own earlier write whose answer did not arrive.
    async fn resolve_conflict(
        &self,
        head: ConfigHead,
        found: Option<TableRow<ConfigHead>>,
    ) -> Result<ApplyOutcome> {
        let Some(found) = found else {
            return Err(Error::NotApplied);
        };
        let stored = self.version(head.version).await;
        match stored {
            Ok(Some(stored)) if stored.change == head.change => Ok(ApplyOutcome::Accepted(head)),
            Ok(_) => Ok(ApplyOutcome::Conflict(found)),
            Err(_) => Err(Error::InDoubt(head.change)),
        }
    }
}

/// Outcome of an apply.
pub(crate) enum ApplyOutcome {
    /// The new head is in the table.
    Accepted(ConfigHead),
    /// Another change was applied first.
    Conflict(TableRow<ConfigHead>),
}

fn version_row(version: u64) -> String {
    format!("v{version}")
}
