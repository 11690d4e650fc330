//! Report on the optional parts of gateway nodes, made from their metrics pages.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use plumgate_node::status::PageError;
use serde::Serialize;

use crate::exposition::{MetricsPage, SampleLabels};

/// Prefix of the metrics of gateway nodes.
const PREFIX: &str = "plumgate_gateway_";
/// Unreadable lines of a page that are listed; the others are only counted. A page of 1 MiB may have half a million.
const MAX_LISTED_LINES: usize = 5;

/// Metrics of a table. Gauges are shown for each node, counters as sums over the nodes that were read.
struct TableSpec {
    name: &'static str,
    /// Whether the table is about the part of the policy of the same name.
    is_part: bool,
    gauges: &'static [&'static str],
    counters: &'static [CounterSpec],
}

/// Counter that is summed by some of its labels.
struct CounterSpec {
    name: &'static str,
    /// Label and value that samples must have to count.
    filter: Option<(&'static str, &'static str)>,
    labels: &'static [&'static str],
}

impl CounterSpec {
    const fn new(name: &'static str, labels: &'static [&'static str]) -> Self {
        Self {
            name,
            filter: None,
            labels,
        }
    }
}

/// Tables of the report.
const TABLES: [TableSpec; 7] = [
    TableSpec {
        name: "server-profiles",
        is_part: true,
        gauges: &["slow_servers", "fast_servers"],
        counters: &[],
    },
    TableSpec {
        name: "engine-memory",
        is_part: true,
        gauges: &["engine_memory_tokens", "engine_memory_capacity_tokens"],
        counters: &[CounterSpec::new("memory_refusals", &["reason"])],
    },
    TableSpec {
        name: "workspace-shares",
        is_part: true,
        gauges: &[
            "limited_workspaces",
            "tracked_workspaces",
            "unlisted_workspaces",
        ],
        counters: &[
            CounterSpec::new("share_refusals", &[]),
            CounterSpec::new("shares_dropped", &[]),
        ],
    },
    TableSpec {
        name: "wait-queue",
        is_part: true,
        gauges: &["waiting_requests"],
        counters: &[
            CounterSpec::new("waits", &["reason"]),
            CounterSpec::new("wait_ends", &["reason"]),
            CounterSpec::new("promised_returns", &["reason"]),
            CounterSpec::new("kept_returns", &["reason"]),
            CounterSpec::new("dropped_promises", &[]),
        ],
    },
    TableSpec {
        name: "refusals",
        is_part: false,
        gauges: &[],
        counters: &[CounterSpec {
            name: "requests",
            filter: Some(("outcome", "not_run")),
            labels: &["reason"],
        }],
    },
    TableSpec {
        name: "slow-callers",
        is_part: false,
        gauges: &[
            "read_ahead_bytes",
            "read_ahead_streams",
            "read_ahead_denied",
        ],
        counters: &[CounterSpec::new("read_ahead_denials", &[])],
    },
    TableSpec {
        name: "connections",
        is_part: false,
        gauges: &[],
        counters: &[CounterSpec::new("server_connections", &["cause", "result"])],
    },
];

/// Report on all nodes.
#[derive(Debug, Serialize)]
pub(crate) struct GatewayReport {
    nodes: Vec<NodeReport>,
    tables: Vec<PartTable>,
}

/// Whether and how a node's page was read.
#[derive(Debug, Serialize)]
struct NodeReport {
    node: SocketAddr,
    /// Reason for which the page was not read.
    error: Option<String>,
    /// Number of lines of the page that can't be read.
    unreadable: usize,
    /// The first of these lines.
    unreadable_lines: Vec<UnreadableLine>,
    /// Parts of the policy that are off; `None` if the node does not export them.
    parts_off: Option<BTreeSet<String>>,
}

/// Line of a page that can't be read.
#[derive(Debug, Serialize)]
struct UnreadableLine {
    line: usize,
    error: String,
}

/// Table about a part of the policy, or about another subject.
#[derive(Debug, Serialize)]
struct PartTable {
    name: &'static str,
    is_part: bool,
    nodes: Vec<NodeRow>,
    /// Sums of counters over the nodes that were read.
    sums: BTreeMap<String, f64>,
    /// Counters of which no node has a value.
    absent: Vec<&'static str>,
}

/// Gauges of a node.
#[derive(Debug, Serialize)]
struct NodeRow {
    node: SocketAddr,
    /// Whether the part is on; `None` if the node does not export it, or the table is not about a part.
    is_on: Option<bool>,
    gauges: BTreeMap<String, f64>,
}

impl GatewayReport {
    /// Makes the report from the pages of nodes, or the failures to read them.
    pub(crate) fn new(results: &[(SocketAddr, Result<MetricsPage, PageError>)]) -> Self {
        let pages = results.iter().filter_map(|(node, result)| {
            let page = result.as_ref().ok()?;
            page.has_prefix(PREFIX).then_some((*node, page))
        });
        let pages: Vec<(SocketAddr, &MetricsPage)> = pages.collect();
        let nodes = results
            .iter()
            .map(|(node, result)| NodeReport::new(*node, result));
        Self {
            nodes: nodes.collect(),
            tables: TABLES
                .iter()
                .map(|spec| PartTable::new(spec, &pages))
                .collect(),
        }
    }

    /// Returns whether at least one node has answered with a page of a gateway node.
    pub(crate) fn has_nodes(&self) -> bool {
        self.nodes.iter().any(|node| node.error.is_none())
    }

    /// Returns the report as text.
    pub(crate) fn lines(&self) -> Vec<String> {
        let read = self.nodes.iter().filter(|node| node.error.is_none());
        let mut lines = vec![format!(
            "nodes: {} of {} read",
            read.count(),
            self.nodes.len()
        )];
        lines.extend(self.nodes.iter().flat_map(NodeReport::lines));
        if self.has_nodes() {
            lines.extend(self.tables.iter().flat_map(PartTable::lines));
        }
        lines
    }
}

impl NodeReport {
    fn new(node: SocketAddr, result: &Result<MetricsPage, PageError>) -> Self {
        let error = match result {
            Ok(page) if page.has_prefix(PREFIX) => None,
            Ok(_) => Some("the page has no metrics of a gateway node".to_owned()),
            Err(error) => Some(error.to_string()),
        };
        let errors = result.as_ref().map_or(&[][..], MetricsPage::errors);
        let listed = errors.iter().take(MAX_LISTED_LINES);
        let listed = listed.map(|(line, error)| UnreadableLine {
            line: *line,
            error: error.to_string(),
        });
        let parts = result.as_ref().ok().map(policy_parts);
        let parts = parts.filter(|parts| !parts.is_empty());
        let off = |parts: BTreeMap<String, bool>| {
            let off = parts.into_iter().filter(|(_, is_on)| !is_on);
            off.map(|(part, _)| part).collect()
        };
        Self {
            node,
            error,
            unreadable: errors.len(),
            unreadable_lines: listed.collect(),
            parts_off: parts.map(off),
        }
    }

    fn lines(&self) -> Vec<String> {
        let state = match (&self.error, &self.parts_off) {
            (Some(error), _) => format!("not read: {error}"),
            (None, None) => "parts of the policy unknown".to_owned(),
            (None, Some(off)) if off.is_empty() => "all parts of the policy on".to_owned(),
            (None, Some(off)) => {
                let off: Vec<&str> = off.iter().map(String::as_str).collect();
                format!("off: {}", off.join(", "))
            }
        };
        let mut lines = vec![format!("  {}: {state}", self.node)];
        if self.unreadable > 0 {
            lines.push(format!("    unreadable lines: {}", self.unreadable));
        }
        let listed = self.unreadable_lines.iter();
        lines.extend(listed.map(|line| format!("    line {}: {}", line.line, line.error)));
        lines
    }
}

impl PartTable {
    fn new(spec: &TableSpec, pages: &[(SocketAddr, &MetricsPage)]) -> Self {
        let row = |(node, page): &(SocketAddr, &MetricsPage)| {
            let values = spec.gauges.iter().flat_map(|gauge| {
                let values = page.values(&format!("{PREFIX}{gauge}"));
                let values = values.map(|(labels, value)| (series(gauge, labels), value));
                values.collect::<Vec<_>>()
            });
            let is_on = spec.is_part.then(|| policy_parts(page));
            NodeRow {
                node: *node,
                is_on: is_on.and_then(|parts| parts.get(spec.name).copied()),
                gauges: values.collect(),
            }
        };
        let has_rows = spec.is_part || !spec.gauges.is_empty();
        let mut sums = BTreeMap::new();
        let mut absent = Vec::new();
        for counter in spec.counters {
            let counts = counter.sums(pages);
            if counts.is_empty() {
                absent.push(counter.name);
            }
            sums.extend(counts);
        }
        Self {
            name: spec.name,
            is_part: spec.is_part,
            nodes: pages.iter().filter(|_| has_rows).map(row).collect(),
            sums,
            absent,
        }
    }

    fn lines(&self) -> Vec<String> {
        let mut lines = vec![String::new(), self.name.to_owned()];
        lines.extend(align(&self.node_cells()));
        let sums = self.sums.iter();
        let mut cells: Vec<Vec<String>> = sums
            .map(|(series, sum)| vec![series.clone(), sum.to_string()])
            .collect();
        let absent = self.absent.iter();
        cells.extend(absent.map(|name| vec![(*name).to_owned(), "-".to_owned()]));
        if !cells.is_empty() {
            lines.push("  sums of the nodes read:".to_owned());
            lines.extend(align(&cells).into_iter().map(|line| format!("  {line}")));
        }
        lines
    }

    /// Returns the cells of the table of nodes, its head included.
    fn node_cells(&self) -> Vec<Vec<String>> {
        if self.nodes.is_empty() {
            return Vec::new();
        }
        let columns = self.nodes.iter().flat_map(|row| row.gauges.keys());
        let columns: BTreeSet<&String> = columns.collect();
        let mut head = vec!["node".to_owned()];
        head.extend(self.is_part.then(|| "part".to_owned()));
        head.extend(columns.iter().map(|column| (*column).clone()));
        let mut cells = vec![head];
        for row in &self.nodes {
            let state = match row.is_on {
                Some(true) => "on",
                Some(false) => "off",
                None => "unknown",
            };
            let mut line = vec![row.node.to_string()];
            line.extend(self.is_part.then(|| state.to_owned()));
            let gauges = columns.iter().map(|column| row.gauges.get(*column));
            line.extend(gauges.map(|gauge| gauge.map_or("-".to_owned(), f64::to_string)));
            cells.push(line);
        }
        cells
    }
}

impl CounterSpec {
    fn sums(&self, pages: &[(SocketAddr, &MetricsPage)]) -> BTreeMap<String, f64> {
        let name = format!("{PREFIX}{}_total", self.name);
        let mut sums = BTreeMap::new();
        for (labels, value) in pages.iter().flat_map(|(_, page)| page.values(&name)) {
            let is_counted = self.filter.is_none_or(|(label, expected)| {
                labels.get(label).is_some_and(|value| value == expected)
            });
            if is_counted {
                let mut labels = labels.clone();
                labels.retain(|label, _| self.labels.contains(&label.as_str()));
                *sums.entry(series(self.name, &labels)).or_default() += value;
            }
        }
        sums
    }
}

/// Returns the parts of the policy that a page names, and whether they are on.
fn policy_parts(page: &MetricsPage) -> BTreeMap<String, bool> {
    let parts = page.values("plumgate_gateway_policy_part");
    let parts = parts.filter_map(|(labels, value)| {
        let part = labels.get("part")?;
        Some((part.escape_debug().to_string(), value != 0.0))
    });
    parts.collect()
}

/// Returns a metric's name with its labels. Values are escaped, as they go to a terminal.
fn series(name: &str, labels: &SampleLabels) -> String {
    if labels.is_empty() {
        return name.to_owned();
    }
    let labels = labels.iter();
    let labels: Vec<String> = labels
        .map(|(label, value)| format!("{label}={value:?}"))
        .collect();
    format!("{name}{{{}}}", labels.join(","))
}

/// Returns lines with aligned columns.
fn align(rows: &[Vec<String>]) -> Vec<String> {
    let column_count = rows.iter().map(Vec::len).max().unwrap_or_default();
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..column_count).map(width).collect();
    let line = |row: &Vec<String>| {
        let cells = row.iter().zip(&widths);
        let cells: Vec<String> = cells
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        format!("  {}", cells.join("  ")).trim_end().to_owned()
    };
    rows.iter().map(line).collect()
}
