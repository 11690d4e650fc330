//! Status and text pages of the nodes, and the versions in force.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::Timer;
use plumgate::{FileFinding, FindingList};
use plumgate_node::status::{NodeStatus, PageError, fetch_page, fetch_page_within, fetch_status};

use crate::errors::{Error, Result};
use crate::exposition::MetricsPage;

/// Pause between two polls of the nodes.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Path of the metrics of gateway nodes.
const METRICS_PATH: &str = "/metrics";
/// Largest metrics page in bytes that is read. The page recorded for the tests has 12 KiB.
const MAX_METRICS_BYTES: usize = 1024 * 1024;
/// Maximum number of nodes whose metrics are read at once.
const MAX_PARALLEL_READS: usize = 64;

/// Reads the addresses given by `--nodes`; findings name each invalid one by its position.
pub(crate) fn parse_addresses<'a>(
    texts: impl Iterator<Item = &'a String>,
) -> Result<Vec<SocketAddr>> {
    let mut addresses = Vec::new();
    let mut findings = FindingList::new();
    for (index, text) in texts.enumerate() {
        match text.parse() {
            Ok(address) => addresses.push(address),
            Err(_) => findings.push(FileFinding {
                file: "--nodes (PLUMGATE_NODES)".to_owned(),
                line: None,
                field: format!("address {}", index + 1),
                message: format!("{text:?} is not an address; expected IP:PORT"),
            }),
        }
    }
    if findings.is_empty() {
        Ok(addresses)
    } else {
        Err(Error::Findings(findings))
    }
}

/// Fetches the metrics pages of gateway nodes, several at once, each within `timeout`. An address that is given twice is read once, as
/// counters are summed over the nodes.
pub(crate) async fn metrics_pages(
    addresses: &[SocketAddr],
    timeout: Duration,
) -> Vec<(SocketAddr, std::result::Result<MetricsPage, PageError>)> {
    let mut known = BTreeSet::new();
    let addresses = addresses.iter().filter(|address| known.insert(**address));
    let addresses: Vec<SocketAddr> = addresses.copied().collect();
    let executor = LocalExecutor::new();
    let mut pages = Vec::new();
    for chunk in addresses.chunks(MAX_PARALLEL_READS) {
        let reads = chunk.iter().map(|address| {
            let read = fetch_page_within(*address, METRICS_PATH, MAX_METRICS_BYTES, timeout);
            (*address, executor.spawn(read))
        });
        let reads: Vec<_> = reads.collect();
        for (address, read) in reads {
            let page = executor.run(read).await;
            pages.push((address, page.map(|text| MetricsPage::parse(&text))));
        }
    }
    pages
}

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
