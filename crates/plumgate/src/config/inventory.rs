//! Inventory: data centres, backend servers and workspaces, from the asset register.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use sha2::{Digest, Sha256};

use super::reader::{Located, SourceFile, TableReader};
use crate::findings::FindingList;
use crate::ids::{DataCentreId, PoolId, ServerId, TierId, WorkspaceId};

/// Largest number of slots of one backend server.
const MAX_SLOTS: u64 = 4096;
/// Largest value of any workspace limit.
const MAX_LIMIT: u64 = 1_000_000;
/// Length of a SHA-256 digest in hexadecimal digits.
const DIGEST_DIGITS: usize = 64;

/// Contents of the inventory.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetInventory {
    /// The data centres by name.
    pub data_centres: BTreeMap<DataCentreId, DataCentre>,
    /// The backend servers by name.
    pub servers: BTreeMap<ServerId, Server>,
    /// The workspaces by name.
    pub workspaces: BTreeMap<WorkspaceId, Workspace>,
    /// The workspace of each key digest, in lower-case hexadecimal.
    pub keys: HashMap<String, WorkspaceId>,
}

/// Data centre.
#[derive(Clone, Debug, PartialEq)]
pub struct DataCentre {
    /// Region that the data centre belongs to.
    pub region: String,
}

/// Kind of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerKind {
    /// Model engine: batches requests, streams responses, resumes and cancels runs.
    Engine,
    /// Plain service beside the model engines.
    Service,
}

/// Backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// The name of the server.
    pub id: ServerId,
    /// The data centre of the server.
    pub data_centre: DataCentreId,
    /// Whether the server is an engine or a plain service.
    pub kind: ServerKind,
    /// The model or the service that the server serves.
    pub pool: PoolId,
    /// The address that the server listens on.
    pub address: SocketAddr,
    /// Number of requests that the server processes concurrently.
    pub slots: u32,
    /// Whether the server refuses an order with an outdated fencing number.
    pub checks_fencing: bool,
}

/// Workspace, which is one customer's share of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// The name of the workspace.
    pub id: WorkspaceId,
    /// The highest tier that the workspace pays for.
    pub tier: TierId,
    /// Number of requests that the workspace may have in flight over all nodes.
    pub concurrency: u32,
    /// Number of requests that the workspace may start per second over all nodes.
    pub requests_per_second: u32,
}

/// Returns the digest under which an API key is listed in the inventory.
pub fn key_digest(key: &str) -> String {
    hex(&Sha256::digest(key.as_bytes()))
}

/// Returns the bytes in lower-case hexadecimal digits.
pub(crate) fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Reads an inventory; returns what could be read and all findings.
pub(super) fn read_inventory(
    name: &str,
    text: &str,
    tiers: &[&str],
) -> (FleetInventory, FindingList) {
    let source = SourceFile::new(name, text);
    let table = source.parse();
    let root = TableReader::new(&source, &table);
    let mut inventory = FleetInventory::default();
    read_data_centres(&root, &mut inventory);
    read_servers(&root, &mut inventory);
    read_workspaces(&root, &mut inventory, tiers);
    root.finish();
    drop(table);
    (inventory, source.into_findings())
}

fn read_data_centres(root: &TableReader<'_, '_>, inventory: &mut FleetInventory) {
    for (name, reader) in root.tables("data_centres") {
        let region = reader
            .required_string("region")
            .map(|located| located.value);
        let data_centre = DataCentre {
            region: region.unwrap_or_default(),
        };
        inventory.data_centres.insert(name.into(), data_centre);
        reader.finish();
    }
}

fn read_servers(root: &TableReader<'_, '_>, inventory: &mut FleetInventory) {
    let mut addresses: BTreeMap<SocketAddr, String> = BTreeMap::new();
    for (name, reader) in root.tables("servers") {
        if let Some(server) = read_server(&name, &reader, inventory) {
            // A server that is listed under two names would get twice its load.
            if let Some(other) = addresses.insert(server.address, name.clone()) {
                let message = format!("has the address {} of \"{other}\"", server.address);
                reader.report(&message);
            }
            inventory.servers.insert(server.id.clone(), server);
        }
        reader.finish();
    }
}

fn read_server(
    name: &str,
    reader: &TableReader<'_, '_>,
    inventory: &FleetInventory,
) -> Option<Server> {
    let known: Vec<&str> = inventory.data_centres.keys().map(AsRef::as_ref).collect();
    let data_centre = reader.required_known_name("data_centre", "data centre", &known);
    let address = reader
        .required_string("address")
        .and_then(|text| read_address(reader, &text));
    let slots = reader.required_integer("slots", MAX_SLOTS) as u32;
    let checks_fencing = reader.boolean("checks_fencing", false);
    let model = reader.string("model");
    let service = reader.string("service");
    let (kind, pool) = match (model, service) {
        (Some(model), None) => (ServerKind::Engine, model.value),
        (None, Some(service)) => (ServerKind::Service, service.value),
        _ => {
            reader.report("needs either a model or a service");
            return None;
        }
    };
    Some(Server {
        id: name.into(),
        data_centre: data_centre?.into(),
        kind,
        pool: pool.into(),
        address: address?,
        slots,
        checks_fencing,
    })
}

fn read_address(reader: &TableReader<'_, '_>, text: &Located<String>) -> Option<SocketAddr> {
    let address = text.value.parse().ok();
    if address.is_none() {
        let message = format!("\"{}\" is not an IP number with a port", text.value);
        reader.report_value(text, message);
    }
    address
}

fn read_workspaces(root: &TableReader<'_, '_>, inventory: &mut FleetInventory, tiers: &[&str]) {
    for (name, reader) in root.tables("workspaces") {
        let id: WorkspaceId = name.as_str().into();
        let tier = reader
            .required_known_name("tier", "tier", tiers)
            .unwrap_or_default();
        let workspace = Workspace {
            id: id.clone(),
            tier: tier.into(),
            concurrency: reader.required_integer("concurrency", MAX_LIMIT) as u32,
            requests_per_second: reader.required_integer("requests_per_second", MAX_LIMIT) as u32,
        };
        for digest in reader.strings("key_digests") {
            read_key(&reader, &digest, &id, inventory);
        }
        inventory.workspaces.insert(id, workspace);
        reader.finish();
    }
}

fn read_key(
    reader: &TableReader<'_, '_>,
    digest: &Located<String>,
    workspace: &WorkspaceId,
    inventory: &mut FleetInventory,
) {
    let well_formed = digest.value.len() == DIGEST_DIGITS
        && digest
            .value
            .bytes()
            .all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
    if !well_formed {
        let message = "is not a SHA-256 digest in lower-case hexadecimal; see plumgate key-digest";
        reader.report_value(digest, message.to_owned());
        return;
    }
    // A key in two workspaces would mix the data of two customers.
    if let Some(other) = inventory
        .keys
        .insert(digest.value.clone(), workspace.clone())
    {
        reader.report_value(digest, format!("already names workspace \"{other}\""));
    }
}
