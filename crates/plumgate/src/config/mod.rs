//! Configuration of the fleet: inventory and rules, as operators write them.

mod bundle;
mod diff;
mod inventory;
mod reader;
mod rules;

pub use bundle::{ConfigBundle, FleetConfig, INVENTORY_FILE, RULES_FILE};
pub use diff::{ConfigChange, config_changes};
pub(crate) use inventory::hex;
pub use inventory::{DataCentre, FleetInventory, Server, ServerKind, Workspace, key_digest};
pub(crate) use reader::{Located, SourceFile, TableReader};
pub use rules::{FleetRules, RequestClass, ServiceRule, Tier};
