//! Status and text pages of the nodes, and the versions in force.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_io::Timer;
use plumgate_node::status::{NodeStatus, fetch_page, fetch_status};

use crate::errors::{Error, Result};

/// Pause between two polls of the nodes.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Fetches the statuses of the nodes that answer; an error if none answers.
pub(crate) async fn statuses(addresses: &[SocketAddr]) -> Result<Vec<NodeStatus>> {
    let mut statuses = Vec::new();
    for address in addresses {
        statuses.extend(fetch_status(*address).await);
    }
    if statuses.is_empty() {
        Err(Error::NoNode)
    } else {
        Ok(statuses)
    }
}

/// Fetches a text page from the readiness addresses of the nodes; an error if none answers.
pub(crate) async fn node_pages(
    addresses: &[SocketAddr],
    path: &str,
) -> Result<BTreeMap<SocketAddr, String>> {
    let mut pages = BTreeMap::new();
    for address in addresses {
        if let Some(page) = fetch_page(*address, path).await {
            pages.insert(*address, page);
        }
    }
    if pages.is_empty() {
        Err(Error::NoNode)
    } else {
        Ok(pages)
    }
}

/// Returns the lowest version in force in each data centre. Of the versions known for a node the newest counts.
pub(crate) fn versions_in_force(statuses: &[NodeStatus]) -> BTreeMap<String, u64> {
    let mut nodes: BTreeMap<&str, (&str, u64)> = BTreeMap::new();
    for status in statuses {
        for node in &status.nodes {
            let known = nodes
                .entry(&node.node)
                .or_insert((&node.data_centre, node.config));
            known.1 = known.1.max(node.config);
        }
    }
    let mut lowest: BTreeMap<String, u64> = BTreeMap::new();
    for (data_centre, version) in nodes.into_values() {
        let current = lowest.entry(data_centre.to_owned()).or_insert(version);
        *current = (*current).min(version);
    }
    lowest
}

/// Waits until a version is in force on all nodes of the data centres and returns the time that it took; an
/// error after `timeout`.
pub(crate) async fn wait_in_force(
    addresses: &[SocketAddr],
    version: u64,
    data_centres: &[String],
    timeout: Duration,
) -> Result<Duration> {
    let start = Instant::now();
    loop {
        let versions = match statuses(addresses).await {
            Ok(statuses) => versions_in_force(&statuses),
            Err(_) => BTreeMap::new(),
        };
        let lagging = |name: &&String| versions.get(*name).is_none_or(|current| *current < version);
        let missing: Vec<&String> = data_centres.iter().filter(lagging).collect();
        if missing.is_empty() {
            return Ok(start.elapsed());
        }
        if start.elapsed() > timeout {
            let descriptions = missing.iter().map(|name| match versions.get(*name) {
                Some(current) => format!("{name} (version {current})"),
                None => format!("{name} (can't be reached)"),
            });
            return Err(Error::NotInForce(
                version,
                descriptions.collect::<Vec<_>>().join(", "),
            ));
        }
        Timer::after(POLL_INTERVAL).await;
    }
}
