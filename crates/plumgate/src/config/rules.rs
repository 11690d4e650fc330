//! The rules: tiers, request classes, plain services and the limits of a node.

use std::collections::BTreeMap;
use std::time::Duration;

use super::reader::{Placed, SourceFile, TableReader};
use crate::findings::FindingList;
use crate::ids::{ClassId, PoolId, TierId, TierRank};

/// Longest time that any rule may name, in milliseconds: one day.
const MOST_MILLISECONDS: u64 = 86_400_000;
/// Most tokens that a class may be said to generate.
const MOST_TOKENS: u64 = 1_000_000;
/// Loads a minute where the rules don't say.
const DEFAULT_LOADS: u64 = 6;
/// Most loads a minute.
const MOST_LOADS: u64 = 6_000;
/// Lowest tier, as a number.
const MOST_RANK: u64 = 9;
/// Requests of each tier that a node queues where the rules don't say.
const DEFAULT_QUEUE: u64 = 2_000;
/// Longest wait in a queue where the rules don't say, in milliseconds.
const DEFAULT_LONGEST_WAIT: u64 = 60_000;
/// How long a claimed key and its answer are kept where the rules don't say: one hour.
const DEFAULT_KEY_LIFETIME: u64 = 3_600_000;
/// Share of retries to requests where the rules don't say.
const DEFAULT_RETRY_SHARE: f64 = 0.1;
/// Longest silence of a server within an answer where the rules don't say, in milliseconds.
const DEFAULT_PROGRESS_TIMEOUT: u64 = 2_000;

/// What stands in the rules.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetRules {
    /// The tiers by name.
    pub tiers: BTreeMap<TierId, Tier>,
    /// The request classes by name.
    pub classes: BTreeMap<ClassId, RequestClass>,
    /// The plain services by name.
    pub services: BTreeMap<PoolId, ServiceRule>,
    /// The class of a request that names none.
    pub default_class: Option<ClassId>,
    /// How many requests of each tier one node queues at most.
    pub queue_length: usize,
    /// How long a request may wait in a queue, whatever its class.
    pub longest_wait: Duration,
    /// How long a claimed key and its answer are kept.
    pub key_lifetime: Duration,
    /// How many retries a node may start for each request that it accepts.
    pub retry_share: f64,
    /// How long a server may be silent within an answer before its connection is replaced.
    pub progress_timeout: Duration,
    /// How many models a data centre loads from the weight store a minute, for each model.
    pub loads_per_minute: u32,
    /// Which share of each pool's slots lower tiers leave free for the highest tier.
    pub burst_reserve: f64,
}

/// One service level.
#[derive(Clone, Debug, PartialEq)]
pub struct Tier {
    /// The name of the tier.
    pub id: TierId,
    /// The position of the tier, 1 for the highest.
    pub rank: TierRank,
    /// The share of dispatches that the tier gets even while higher tiers wait.
    pub floor: f64,
}

/// One class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// The name of the class.
    pub id: ClassId,
    /// The tier of the class.
    pub tier: TierId,
    /// The time from arrival to the first token, or to the whole answer of a service.
    pub target: Duration,
    /// How long a request of the class waits for a server before it is refused.
    pub patience: Duration,
    /// Whether a request of the class may run more than once.
    pub idempotent: bool,
    /// The tokens that an answer has on average, before any were observed.
    pub expected_tokens: u32,
}

/// Rules for one plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// The name of the service.
    pub id: PoolId,
    /// The class of the service's calls.
    pub class: ClassId,
    /// The calls that may not be repeated, each "METHOD /path".
    pub non_idempotent: Vec<String>,
}

impl ServiceRule {
    /// Whether a call may be repeated.
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        !self.non_idempotent.iter().any(|call| {
            call.split_once(' ')
                .is_some_and(|(m, p)| m == method && path.starts_with(p))
        })
    }
}

/// Reads the rules; findings come back together with what could be read.
pub(super) fn read_rules(name: &str, text: &str) -> (FleetRules, FindingList) {
    let source = SourceFile::new(name, text);
    let table = source.parse();
    let root = TableReader::new(&source, &table);
    let tiers = read_tiers(&root);
    let classes = read_classes(&root, &tiers);
    let services = read_services(&root, &classes);
    let known: Vec<&str> = classes.keys().map(AsRef::as_ref).collect();
    let milliseconds =
        |field, default| Duration::from_millis(root.integer(field, default, MOST_MILLISECONDS));
    let rules = FleetRules {
        default_class: root
            .name_of("default_class", "class", &known)
            .map(Into::into),
        queue_length: root.integer("queue_length", DEFAULT_QUEUE, MOST_TOKENS) as usize,
        longest_wait: milliseconds("longest_wait_ms", DEFAULT_LONGEST_WAIT),
        key_lifetime: milliseconds("key_lifetime_ms", DEFAULT_KEY_LIFETIME),
        retry_share: root.share("retry_share", DEFAULT_RETRY_SHARE),
        progress_timeout: milliseconds("progress_timeout_ms", DEFAULT_PROGRESS_TIMEOUT),
        loads_per_minute: root
            .integer("loads_per_minute", DEFAULT_LOADS, MOST_LOADS)
            .max(1) as u32,
        burst_reserve: root.share("burst_reserve", 0.0),
        tiers,
        classes,
        services,
    };
    root.finish();
    drop(table);
    (rules, source.into_findings())
}

fn read_tiers(root: &TableReader<'_, '_>) -> BTreeMap<TierId, Tier> {
    let mut tiers: BTreeMap<TierId, Tier> = BTreeMap::new();
    let mut floors = 0.0;
    for (name, reader) in root.tables("tiers") {
        let id: TierId = name.into();
        let rank = reader.required_integer("rank", MOST_RANK) as TierRank;
        let floor = reader.share("floor", 0.0);
        floors += floor;
        if tiers.values().any(|tier| tier.rank == rank) {
            reader.report(&format!("has the rank {rank} of another tier"));
        }
        if floors > 0.5 {
            reader.report("brings the floors of all tiers above 0.5, which starves the highest");
        }
        tiers.insert(id.clone(), Tier { id, rank, floor });
        reader.finish();
    }
    if tiers.is_empty() {
        root.report("no tiers are named");
    }
    tiers
}

fn read_classes(
    root: &TableReader<'_, '_>,
    tiers: &BTreeMap<TierId, Tier>,
) -> BTreeMap<ClassId, RequestClass> {
    let known: Vec<&str> = tiers.keys().map(AsRef::as_ref).collect();
    let mut classes = BTreeMap::new();
    for (name, reader) in root.tables("classes") {
        let id: ClassId = name.into();
        let tier = reader
            .required_name_of("tier", "tier", &known)
            .unwrap_or_default();
        let target = reader.required_integer("target_ms", MOST_MILLISECONDS);
        let class = RequestClass {
            id: id.clone(),
            tier: tier.into(),
            target: Duration::from_millis(target),
            patience: Duration::from_millis(reader.integer(
                "patience_ms",
                target,
                MOST_MILLISECONDS,
            )),
            idempotent: reader.boolean("idempotent", true),
            expected_tokens: reader.integer("expected_tokens", 100, MOST_TOKENS) as u32,
        };
        classes.insert(id, class);
        reader.finish();
    }
    classes
}

fn read_services(
    root: &TableReader<'_, '_>,
    classes: &BTreeMap<ClassId, RequestClass>,
) -> BTreeMap<PoolId, ServiceRule> {
    let known: Vec<&str> = classes.keys().map(AsRef::as_ref).collect();
    let mut services = BTreeMap::new();
    for (name, reader) in root.tables("services") {
        let id: PoolId = name.into();
        let class = reader
            .required_name_of("class", "class", &known)
            .unwrap_or_default();
        let calls = reader.strings("non_idempotent");
        for call in &calls {
            check_call(&reader, call);
        }
        let non_idempotent = calls.into_iter().map(|call| call.value).collect();
        services.insert(
            id.clone(),
            ServiceRule {
                id,
                class: class.into(),
                non_idempotent,
            },
        );
        reader.finish();
    }
    services
}

fn check_call(reader: &TableReader<'_, '_>, call: &Placed<String>) {
    let well_formed = call.value.split_once(' ').is_some_and(|(method, path)| {
        method.bytes().all(|b| b.is_ascii_uppercase()) && path.starts_with('/')
    });
    if !well_formed {
        let message = format!("\"{}\" is not a call such as \"POST /issue\"", call.value);
        reader.report_placed(call, message);
    }
}
