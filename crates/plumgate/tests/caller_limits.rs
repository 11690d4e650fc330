//! Which connections and bodies of callers end if a node holds too many.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use plumgate::callers::{
    BodyTable, ConnectionBounds, ConnectionId, ConnectionPhase, ConnectionTable, MachineLimits,
};
use plumgate::gateway::{MemoryAccount, MemoryHold};
use quickcheck::quickcheck;

const MAX_CONNECTIONS: usize = 8;
const MB: usize = 1024 * 1024;

fn phase(number: u8) -> ConnectionPhase {
    match number % 4 {
        0 => ConnectionPhase::Idle,
        1 => ConnectionPhase::Head,
        2 => ConnectionPhase::Body,
        _ => ConnectionPhase::Answering,
    }
}

quickcheck! {
    // Guards against connections beyond the limit, answers that are cut to make room, and newcomers that are refused
    // although another connection could close.
    fn crowd_stays_within_the_limit(steps: Vec<(u8, u8, u8)>) -> bool {
        let mut table = ConnectionTable::new(MAX_CONNECTIONS);
        let mut phases: HashMap<ConnectionId, ConnectionPhase> = HashMap::new();
        let mut now = Instant::now();
        steps.into_iter().all(|(kind, which, pause)| {
            now += Duration::from_millis(u64::from(pause) * 10);
            let mut ids: Vec<ConnectionId> = phases.keys().copied().collect();
            ids.sort_unstable();
            let id = ids.get(usize::from(which) % ids.len().max(1)).copied();
            match (kind % 8, id) {
                (0..4, _) => match table.open(now) {
                    Some(id) => {
                        phases.insert(id, ConnectionPhase::Idle);
                    }
                    None => {
                        let victim = table.close_one(now);
                        let all_answer = phases.values().all(|phase| *phase == ConnectionPhase::Answering);
                        match victim {
                            Some(id) if phases.get(&id) != Some(&ConnectionPhase::Answering) => {
                                table.remove(id);
                                phases.remove(&id);
                            }
                            Some(_) => return false,
                            None if !all_answer => return false,
                            None => {}
                        }
                    }
                },
                (4, Some(id)) => {
                    table.remove(id);
                    phases.remove(&id);
                }
                (kind, Some(id)) => {
                    table.set_phase(id, phase(kind.wrapping_add(which)), now);
                    phases.insert(id, phase(kind.wrapping_add(which)));
                }
                _ => {}
            }
            table.len() == phases.len() && table.len() <= MAX_CONNECTIONS && table.closing() == 0
        })
    }

    // Guards against machines on which connections and requests together take more than the memory or the descriptors.
    fn bounds_fit_the_machine(memory_mb: u16, descriptors: u16) -> bool {
        let memory_bytes = (64 + usize::from(memory_mb) % 1_000) * MB;
        let descriptors = 100 + usize::from(descriptors) % 10_000;
        let reserved_bytes = memory_bytes * 3 / 8;
        let bounds = ConnectionBounds::new(MachineLimits { memory_bytes, reserved_bytes, descriptors });
        let connections = bounds.max_connections(16 * 1024);
        // Task and write buffer, read buffer, and what the operating system holds unread.
        let each = (20 + 16 + 32) * 1024;
        reserved_bytes + connections * each <= memory_bytes && 2 * connections < descriptors
    }
}

/// Guards against newcomers that push each other out while connections that send nothing stay.
#[test]
fn connection_that_sends_its_body_for_long_closes_before_a_new_one() {
    let mut table = ConnectionTable::new(2);
    let start = Instant::now();
    let body = table.open(start).expect("room");
    table.set_phase(body, ConnectionPhase::Body, start);
    let newcomer = table.open(start + Duration::from_secs(5)).expect("room");
    assert_eq!(table.close_one(start + Duration::from_secs(5)), Some(body));
    table.remove(body);
    table.set_phase(newcomer, ConnectionPhase::Answering, start);
    assert_eq!(table.close_one(start + Duration::from_secs(60)), None);
}

/// Guards against a request that is cut because it arrived after its connection was chosen to close.
#[test]
fn connection_that_receives_a_request_does_not_close() {
    let mut table = ConnectionTable::new(1);
    let now = Instant::now();
    let id = table.open(now).expect("room");
    assert_eq!(table.close_one(now), Some(id));
    assert!(table.is_closing(id));
    table.set_phase(id, ConnectionPhase::Answering, now);
    assert!(!table.is_closing(id));
    assert_eq!((table.closing(), table.close_one(now)), (0, None));
}

/// Guards against bodies that hold memory and stop short while others find none.
#[test]
fn slowest_bodies_give_up_their_memory() {
    let mut table = BodyTable::default();
    let start = Instant::now();
    let [stalled, slow, fast] = [0, 10, 900].map(|received| {
        let id = table.begin(start);
        table.record(id, received, 1_000);
        id
    });
    let now = start + Duration::from_secs(1);
    let newcomer = table.begin(now);
    table.record(newcomer, 0, 1_000);
    let needed_by = table.begin(now);
    assert_eq!(table.revoke(1_500, needed_by, now), [stalled, slow]);
    assert_eq!(table.revoke(5_000, needed_by, now), [fast]);
    assert!(!table.remove(stalled) && table.remove(newcomer));
}

/// Guards against bodies that give up their memory for one that can't have enough of it.
#[test]
fn missing_bytes_leave_room_for_the_hold() {
    let account = Arc::new(MemoryAccount::new(1_000));
    let mut others = MemoryHold::new(account.clone());
    assert!(others.resize(250));
    let mut hold = MemoryHold::new(account);
    assert_eq!(hold.missing_bytes(251), None);
    let missing = hold.missing_bytes(240).expect("a size that is possible");
    assert!(!hold.resize(240));
    assert!(others.resize(250 - missing) && hold.resize(240));
}
