//! Commands of the tool.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use clap::ArgMatches;
use clap_complete::{Shell, generate};
use plumgate::config::{ConfigBundle, config_changes, key_digest};
use plumgate::config_follower::ConfigHead;
use plumgate_node::gateway::{DUTIES_PATH, LIMITS_PATH, STATEMENTS_PATH};
use plumgate_node::status::NodeStatus;
use serde_json::json;

use crate::apply::{ApplyBase, apply_files, check, conflict_error, set_drained};
use crate::errors::{Error, Result};
use crate::flags;
use crate::gateway_report::GatewayReport;
use crate::nodes::{
    metrics_pages, node_pages, parse_addresses, statuses, versions_in_force, wait_in_force,
};
use crate::output::print_line;
use crate::store::ConfigStore;

/// Runs the command given on the command line.
pub(crate) async fn run(matches: &ArgMatches) -> Result<ExitCode> {
    // Invalid addresses are reported before a command changes anything.
    let nodes = matches.get_many::<String>("nodes").unwrap_or_default();
    let nodes = parse_addresses(nodes)?;
    let context = CommandContext { matches, nodes };
    match matches.subcommand() {
        Some(("check", sub)) => context.check(sub),
        Some(("diff", sub)) => context.diff(sub).await,
        Some(("apply", sub)) => context.apply(sub).await,
        Some(("status", _)) => context.status().await,
        Some(("duties", _)) => context.pages(DUTIES_PATH).await,
        Some(("limits", _)) => context.pages(LIMITS_PATH).await,
        Some(("statements", _)) => context.pages(STATEMENTS_PATH).await,
        Some(("gateway", sub)) => context.gateway(sub).await,
        Some(("show", sub)) => context.show(sub).await,
        Some(("drain", sub)) => context.drain(sub, true).await,
        Some(("undrain", sub)) => context.drain(sub, false).await,
        Some(("history", sub)) => context.history(sub).await,
        Some(("key-digest", _)) => print_digest(),
        Some(("completions", sub)) => Ok(print_completions(sub)),
        _ => Ok(ExitCode::from(2)),
    }
}

fn print_digest() -> Result<ExitCode> {
    let mut key = String::new();
    let read = std::io::stdin().read_line(&mut key);
    read.map_err(|error| Error::File("standard input".to_owned(), error))?;
    let key = key.trim();
    if key.is_empty() {
        return Err(Error::NoKey);
    }
    print_line(key_digest(key));
    Ok(ExitCode::SUCCESS)
}

fn print_completions(matches: &ArgMatches) -> ExitCode {
    if let Some(shell) = matches.get_one::<Shell>("shell") {
        generate(
            *shell,
            &mut flags::command(),
            "plumgate",
            &mut std::io::stdout(),
        );
    }
    ExitCode::SUCCESS
}

/// Flags common to all commands.
struct CommandContext<'a> {
    matches: &'a ArgMatches,
    /// Addresses of nodes.
    nodes: Vec<SocketAddr>,
}

impl CommandContext<'_> {
    fn store(&self) -> Result<ConfigStore> {
        let address = self.matches.get_one::<SocketAddr>("platform");
        let missing = || {
            let missing = std::io::Error::other("is missing");
            Error::File("--platform (PLUMGATE_PLATFORM)".to_owned(), missing)
        };
        address
            .map(|address| ConfigStore::new(*address))
            .ok_or_else(missing)
    }

    fn is_json(&self) -> bool {
        self.matches.get_flag("json")
    }

    fn print(&self, json: &serde_json::Value, text: &str) {
        if self.is_json() {
            print_line(json);
        } else {
            print_line(text);
        }
    }

    fn check(&self, matches: &ArgMatches) -> Result<ExitCode> {
        let config = check(&read_files(matches)?, 0)?;
        let inventory = &config.inventory;
        let (servers, workspaces) = (inventory.servers.len(), inventory.workspaces.len());
        let classes = config.rules.classes.len();
        let counts = json!({ "servers": servers, "workspaces": workspaces, "classes": classes });
        let text =
            format!("{servers} servers, {workspaces} workspaces, {classes} classes; no findings");
        self.print(&counts, &text);
        Ok(ExitCode::SUCCESS)
    }

    async fn diff(&self, matches: &ArgMatches) -> Result<ExitCode> {
        let base = ApplyBase::read(&self.store()?).await?;
        let bundle = read_files(matches)?.with_drained(base.bundle.drained.clone());
        let new = check(&bundle, base.version() + 1)?;
        let changes: Vec<String> = match base.head {
            Some(_) => {
                let old = check(&base.bundle, base.version())?;
                config_changes(&old, &new)
                    .iter()
                    .map(ToString::to_string)
                    .collect()
            }
            None => vec!["+ everything: no configuration was applied yet".to_owned()],
        };
        let text = if changes.is_empty() {
            "no changes".to_owned()
        } else {
            changes.join("\n")
        };
        self.print(
            &json!({ "version": base.version(), "changes": changes }),
            &text,
        );
        Ok(ExitCode::SUCCESS)
    }

    async fn apply(&self, matches: &ArgMatches) -> Result<ExitCode> {
        let store = self.store()?;
        let base = ApplyBase::read(&store).await?;
        if let Some(expected) = matches.get_one::<u64>("expect")
            && *expected != base.version()
        {
            return Err(self.version_conflict(&store, &base, *expected).await?);
        }
        let bundle = read_files(matches)?.with_drained(base.bundle.drained.clone());
        let head = apply_files(&store, &base, &bundle, &author(matches)).await?;
        self.finish_change(matches, &head, &bundle).await
    }

    /// Builds the error for a store whose version differs from the expected one.
    async fn version_conflict(
        &self,
        store: &ConfigStore,
        base: &ApplyBase,
        expected: u64,
    ) -> Result<Error> {
        let expected_head = store
            .version(expected)
            .await?
            .ok_or(Error::NoVersion(expected))?;
        let bundle = store.bundle(&expected_head).await?;
        let Some(found) = base.head.clone() else {
            return Ok(Error::NoConfig);
        };
        let expected_row = plumgate_node::platform::TableRow {
            version: 0,
            value: expected_head,
        };
        let expected_base = ApplyBase {
            head: Some(expected_row),
            bundle,
        };
        Ok(conflict_error(store, &expected_base, found).await)
    }

    async fn drain(&self, matches: &ArgMatches, drained: bool) -> Result<ExitCode> {
        let store = self.store()?;
        let server = matches
            .get_one::<String>("server")
            .cloned()
            .unwrap_or_default();
        let head = set_drained(&store, &server, drained, &author(matches)).await?;
        let bundle = store.bundle(&head).await?;
        self.finish_change(matches, &head, &bundle).await
    }

    /// Prints the outcome of a change, after waiting until it is in force if `--wait` is given.
    async fn finish_change(
        &self,
        matches: &ArgMatches,
        head: &ConfigHead,
        bundle: &ConfigBundle,
    ) -> Result<ExitCode> {
        let version = head.version;
        if !matches.get_flag("wait") {
            let json = json!({ "version": version, "change": head.change });
            self.print(
                &json,
                &format!("version {version} accepted, change {}", head.change),
            );
            return Ok(ExitCode::SUCCESS);
        }
        let config = check(bundle, version)?;
        let names: Vec<String> = config
            .inventory
            .data_centres
            .keys()
            .map(ToString::to_string)
            .collect();
        let timeout = matches
            .get_one::<u64>("wait-ms")
            .copied()
            .unwrap_or_default();
        let timeout = Duration::from_millis(timeout);
        let elapsed = wait_in_force(&self.nodes, version, &names, timeout).await?;
        let json = json!({
            "version": version,
            "change": head.change,
            "in_force_ms": elapsed.as_millis() as u64,
        });
        let text = format!(
            "version {version} in force in {} after {} ms, change {}",
            names.join(", "),
            elapsed.as_millis(),
            head.change
        );
        self.print(&json, &text);
        Ok(ExitCode::SUCCESS)
    }

    async fn status(&self) -> Result<ExitCode> {
        let statuses = statuses(&self.nodes).await?;
        if self.is_json() {
            print_line(json!(statuses));
            return Ok(ExitCode::SUCCESS);
        }
        print_line("data centres:");
        for (data_centre, version) in versions_in_force(&statuses) {
            print_line(format!("  {data_centre}: version {version} or newer"));
        }
        for status in &statuses {
            print_node(status);
        }
        Ok(ExitCode::SUCCESS)
    }

    /// Prints a text page of each node that answers, headed by the node's address.
    async fn pages(&self, path: &str) -> Result<ExitCode> {
        let pages = node_pages(&self.nodes, path).await?;
        if self.is_json() {
            print_line(json!(pages));
            return Ok(ExitCode::SUCCESS);
        }
        for (address, page) in &pages {
            print_line(format!("{address}:"));
            for line in page.lines() {
                print_line(format!("  {line}"));
            }
        }
        Ok(ExitCode::SUCCESS)
    }

    /// Prints what the optional parts of the policy do on gateway nodes.
    async fn gateway(&self, matches: &ArgMatches) -> Result<ExitCode> {
        let timeout = matches.get_one::<u64>("timeout-ms").copied();
        let timeout = Duration::from_millis(timeout.unwrap_or_default());
        let report = GatewayReport::new(&metrics_pages(&self.nodes, timeout).await);
        self.print(&json!(report), &report.lines().join("\n"));
        if report.has_nodes() {
            Ok(ExitCode::SUCCESS)
        } else {
            Err(Error::NoNode)
        }
    }

    async fn show(&self, matches: &ArgMatches) -> Result<ExitCode> {
        let store = self.store()?;
        let head = match matches.get_one::<u64>("version") {
            Some(version) => store
                .version(*version)
                .await?
                .ok_or(Error::NoVersion(*version))?,
            None => store.head().await?.ok_or(Error::NoConfig)?.value,
        };
        let bundle = store.bundle(&head).await?;
        let drained: Vec<&str> = bundle.drained.iter().map(String::as_str).collect();
        let text = format!(
            "# version {} by {}, drained: [{}]\n# inventory.toml\n{}\n# rules.toml\n{}",
            head.version,
            head.author,
            drained.join(", "),
            bundle.inventory,
            bundle.rules
        );
        self.print(&json!({ "head": head, "bundle": bundle }), &text);
        Ok(ExitCode::SUCCESS)
    }

    async fn history(&self, matches: &ArgMatches) -> Result<ExitCode> {
        let store = self.store()?;
        let newest = store.head().await?.ok_or(Error::NoConfig)?.value.version;
        let count = matches.get_one::<u64>("count").copied().unwrap_or_default();
        let mut heads = Vec::new();
        for version in (1..=newest).rev().take(count as usize) {
            heads.extend(store.version(version).await?);
        }
        let lines: Vec<String> = heads
            .iter()
            .map(|head| {
                format!(
                    "{} by {} at {} ms, change {}",
                    head.version, head.author, head.made_ms, head.change
                )
            })
            .collect();
        self.print(&json!(heads), &lines.join("\n"));
        Ok(ExitCode::SUCCESS)
    }
}

fn print_node(status: &NodeStatus) {
    print_line(format!(
        "{} in {}: {}, version {}",
        status.node, status.data_centre, status.state, status.config
    ));
    print_line(format!(
        "  waiting {:?}, running {:?}",
        status.waiting, status.running
    ));
    if !status.open_circuits.is_empty() {
        print_line(format!(
            "  not reached: {}",
            status.open_circuits.join(", ")
        ));
    }
    for server in status
        .servers
        .iter()
        .filter(|server| !server.leaving.is_empty())
    {
        print_line(format!(
            "  {} is leaving, says {}",
            server.server,
            server.leaving.join(" and ")
        ));
    }
}

fn author(matches: &ArgMatches) -> String {
    matches
        .get_one::<String>("author")
        .cloned()
        .unwrap_or_default()
}

fn read_files(matches: &ArgMatches) -> Result<ConfigBundle> {
    let read = |name: &str| {
        let path = matches.get_one::<String>(name).cloned().unwrap_or_default();
        std::fs::read_to_string(&path).map_err(|error| Error::File(path, error))
    };
    Ok(ConfigBundle::new(read("inventory")?, read("rules")?))
}
