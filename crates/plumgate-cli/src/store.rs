//! The configuration as the platform keeps it: one head row, one row a version, bundles as objects.

use std::net::SocketAddr;

use plumgate::config::ConfigBundle;
use plumgate::follow::ConfigHead;
use plumgate_node::platform::{
    CONFIG_HEAD, CONFIG_TABLE, PlatformClient, TableRow, WriteAnswer, WriteCondition,
};
use plumgate_node::{Clock, SystemClock};

use crate::errors::{Error, Result};

/// Times that a write in doubt is looked after.
const TRIES: u32 = 5;

/// The configuration in the platform's store.
pub(crate) struct ConfigStore {
    platform: PlatformClient<SystemClock>,
}

impl ConfigStore {
    /// The store behind a platform's address.
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            platform: PlatformClient::new(address, SystemClock),
        }
    }

    /// The head row, if anything was applied yet.
    pub(crate) async fn head(&self) -> Result<Option<TableRow<ConfigHead>>> {
        self.platform
            .read_row(CONFIG_TABLE, CONFIG_HEAD)
            .await
            .map_err(|_| Error::NotApplied)
    }

    /// The bundle behind a head.
    pub(crate) async fn bundle(&self, head: &ConfigHead) -> Result<ConfigBundle> {
        let object = self
            .platform
            .read_object(&head.digest)
            .await
            .map_err(|_| Error::NotApplied)?;
        let bytes = object.ok_or(Error::NoVersion(head.version))?;
        serde_json::from_slice(&bytes).map_err(|_| Error::NoVersion(head.version))
    }

    /// The head as it was at a version.
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

    /// Writes the next version on top of a head; on conflict the head that is there instead.
    pub(crate) async fn apply(
        &self,
        base: Option<&TableRow<ConfigHead>>,
        bundle: &ConfigBundle,
        author: &str,
    ) -> Result<Applied> {
        let digest = bundle.digest();
        let body = serde_json::to_vec(bundle).unwrap_or_default();
        if !self.platform.write_object(&digest, body.into(), None).await {
            return Err(Error::NotApplied);
        }
        self.keep_version(base).await?;
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

    /// Writes the row of the version that is about to be replaced. Every applier does this
    /// first, so that no version is missing in the history, whoever stopped half-way.
    async fn keep_version(&self, base: Option<&TableRow<ConfigHead>>) -> Result<()> {
        let Some(base) = base else { return Ok(()) };
        let row = version_row(base.value.version);
        for _ in 0..TRIES {
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

    async fn write_head(&self, base: Option<u64>, head: ConfigHead) -> Result<Applied> {
        let mut in_doubt = false;
        for _ in 0..TRIES {
            let condition = WriteCondition::new(base);
            let answer = self
                .platform
                .write_row(CONFIG_TABLE, CONFIG_HEAD, &head, condition, None)
                .await;
            match answer {
                WriteAnswer::Written(_) => return Ok(Applied::Accepted(head)),
                WriteAnswer::Conflict(found) => return self.resolve(head, found).await,
                WriteAnswer::Refused => {}
                // The next try finds out: it either takes effect or meets this one's effect.
                WriteAnswer::Unanswered => in_doubt = true,
            }
        }
        if in_doubt {
            Err(Error::InDoubt(head.change))
        } else {
            Err(Error::NotApplied)
        }
    }

    /// A conflict may be with this change's own earlier write, whose answer was lost.
    async fn resolve(
        &self,
        head: ConfigHead,
        found: Option<TableRow<ConfigHead>>,
    ) -> Result<Applied> {
        let Some(found) = found else {
            return Err(Error::NotApplied);
        };
        let kept = self.version(head.version).await;
        match kept {
            Ok(Some(kept)) if kept.change == head.change => Ok(Applied::Accepted(head)),
            Ok(_) => Ok(Applied::Raced(found)),
            Err(_) => Err(Error::InDoubt(head.change)),
        }
    }
}

/// How an apply ended.
pub(crate) enum Applied {
    /// The new head is in the table.
    Accepted(ConfigHead),
    /// Another change came first.
    Raced(TableRow<ConfigHead>),
}

fn version_row(version: u64) -> String {
    format!("v{version}")
}
