//! Rules: tiers, request classes, plain services and the limits of a node.

use std::collections::BTreeMap;
use std::time::Duration;

use super::reader::{Located, SourceFile, TableReader};
use crate::findings::FindingList;
use crate::ids::{ClassId, PoolId, TierId, TierRank};

/// Longest time in any rule, in milliseconds: one day.
const MAX_MILLISECONDS: u64 = 86_400_000;
/// Largest number of expected tokens of a class, and largest queue length.
const MAX_TOKENS: u64 = 1_000_000;
/// Default of `loads_per_minute`.
const DEFAULT_LOADS: u64 = 6;
/// Largest value of `loads_per_minute`.
const MAX_LOADS: u64 = 6_000;
/// Rank of the lowest possible tier.
const MAX_RANK: u64 = 9;
/// Default of `queue_length`, in requests of each tier.
const DEFAULT_QUEUE: u64 = 2_000;
/// Default of `longest_wait_ms`, in milliseconds.
const DEFAULT_LONGEST_WAIT: u64 = 60_000;
/// Default of `key_lifetime_ms`, in milliseconds: one hour.
const DEFAULT_KEY_LIFETIME: u64 = 3_600_000;
/// Default of `retry_share`, in retries per request.
const DEFAULT_RETRY_SHARE: f64 = 0.1;
/// Default of `progress_timeout_ms`, in milliseconds.
const DEFAULT_PROGRESS_TIMEOUT: u64 = 2_000;

/// Contents of the rules.
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
    /// Maximum number of requests of each tier that one node queues.
    pub queue_length: usize,
    /// Maximum time for which a request waits in a queue, whatever its class.
    pub longest_wait: Duration,
    /// Time for which a claimed key and its response are stored.
    pub key_lifetime: Duration,
    /// Number of retries that a node may start for each request that it accepts.
    pub retry_share: f64,
    /// Time for which a server may send nothing within a response before its connection is replaced.
    pub progress_timeout: Duration,
    /// Number of loads of one model from the weight store that a data centre starts per minute.
    pub loads_per_minute: u32,
    /// Share of each pool's slots that is reserved for the highest tier.
    pub burst_reserve: f64,
}

/// Service level.
#[derive(Clone, Debug, PartialEq)]
pub struct Tier {
    /// The name of the tier.
    pub id: TierId,
    /// The position of the tier, 1 for the highest.
    pub rank: TierRank,
    /// The share of dispatches that the tier gets even while requests of higher tiers wait.
    pub floor: f64,
}

/// Class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// The name of the class.
    pub id: ClassId,
    /// The tier of the class.
    pub tier: TierId,
    /// The target time from arrival to the first token, or to the whole response of a service.
    pub target: Duration,
    /// Time for which a request of the class waits for a server before it is refused.
    pub patience: Duration,
    /// Whether a request of the class may run more than once.
    pub idempotent: bool,
    /// The average tokens of a response, used until responses have been observed.
    pub expected_tokens: u32,
}

/// Rules for one plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// The name of the service.
    pub id: PoolId,
    /// The class of the service's calls.
    pub class: ClassId,
    /// The calls that must not be repeated, each "METHOD /path" and matching by path prefix.
    pub non_idempotent: Vec<String>,
}

impl ServiceRule {
    /// Returns whether a call may be repeated.
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        !self.non_idempotent.iter().any(|call| {
            call.split_once(' ')
                .is_some_and(|(m, p)| m == method && path.starts_with(p))
        })
    }
}

/// Reads the rules; returns what could be read and all findings.
pub(super) fn read_rules(name: &str, text: &str) -> (FleetRules, FindingList) {
    let source = SourceFile::new(name, text);
    let table = source.parse();
    let root = TableReader::new(&source, &table);
    let tiers = read_tiers(&root);
    let classes = read_classes(&root, &tiers);
    let services = read_services(&root, &classes);
    let known: Vec<&str> = classes.keys().map(AsRef::as_ref).collect();
    let milliseconds =
        |field, default| Duration::from_millis(root.integer(field, default, MAX_MILLISECONDS));
    let rules = FleetRules {
        default_class: root
            .known_name("default_class", "class", &known)
            .map(Into::into),
        queue_length: root.integer("queue_length", DEFAULT_QUEUE, MAX_TOKENS) as usize,
        longest_wait: milliseconds("longest_wait_ms", DEFAULT_LONGEST_WAIT),
        key_lifetime: milliseconds("key_lifetime_ms", DEFAULT_KEY_LIFETIME),
        retry_share: root.share("retry_share", DEFAULT_RETRY_SHARE),
        progress_timeout: milliseconds("progress_timeout_ms", DEFAULT_PROGRESS_TIMEOUT),
        loads_per_minute: root
            .integer("loads_per_minute", DEFAULT_LOADS, MAX_LOADS)
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
        let rank = reader.required_integer("rank", MAX_RANK) as TierRank;
        let floor = reader.share("floor", 0.0);
        floors += floor;
        if tiers.values().any(|tier| tier.rank == rank) {
            reader.report(&format!("has the rank {rank} of another tier"));
        }
        if floors > 0.5 {
            reader.report(
                "raises the sum of all floors above 0.5, which would starve the highest tier",
            );
        }
        tiers.insert(id.clone(), Tier { id, rank, floor });
        reader.finish();
    }
    if tiers.is_empty() {
        root.report("at least one tier is required");
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
            .required_known_name("tier", "tier", &known)
            .unwrap_or_default();
        let target = reader.required_integer("target_ms", MAX_MILLISECONDS);
        let class = RequestClass {
            id: id.clone(),
            tier: tier.into(),
            target: Duration::from_millis(target),
            patience: Duration::from_millis(reader.integer(
                "patience_ms",
                target,
                MAX_MILLISECONDS,
            )),
            idempotent: reader.boolean("idempotent", true),
            expected_tokens: reader.integer("expected_tokens", 100, MAX_TOKENS) as u32,
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
            .required_known_name("class", "class", &known)
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

fn check_call(reader: &TableReader<'_, '_>, call: &Located<String>) {
    let well_formed = call.value.split_once(' ').is_some_and(|(method, path)| {
        method.bytes().all(|b| b.is_ascii_uppercase()) && path.starts_with('/')
    });
    if !well_formed {
        let message = format!("\"{}\" is not a call such as \"POST /issue\"", call.value);
        reader.report_value(call, message);
    }
}
