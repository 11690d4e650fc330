//! Bytes held for slow callers, over drawn loads.

use std::collections::HashMap;

use plumgate::gateway::{ReadAheadBounds, ReadAheadTable};
use plumgate::ids::WorkspaceId;

const TOTAL: usize = 15 * 1024 * 1024;
const CHUNK: usize = 16 * 1024;

fn workspace(number: usize) -> Option<WorkspaceId> {
    Some(format!("workspace-{number}").into())
}

/// Guards against bytes that exceed the bound, or that are never released.
#[test]
fn total_is_bounded_and_all_is_released() {
    for seed in 0..30 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let total = rng.usize(64 * 1024..TOTAL);
        let mut table = ReadAheadTable::new(ReadAheadBounds::new(total));
        let mut held: HashMap<u64, usize> = HashMap::new();
        for _ in 0..20_000 {
            let number = rng.choice(held.keys()).copied();
            match (rng.u8(0..20), number) {
                (0, _) | (_, None) => {
                    held.insert(table.open(workspace(rng.usize(0..40))), 0);
                }
                (1, Some(number)) if held.len() > 100 => {
                    table.close(number);
                    held.remove(&number);
                }
                (2..5, Some(number)) => {
                    let bytes = rng.usize(0..2 * CHUNK).min(held[&number]);
                    table.release(number, bytes);
                    *held.get_mut(&number).expect("a stream") -= bytes;
                }
                (_, Some(number)) => {
                    let bytes = rng.usize(1..CHUNK);
                    if table.allows(number, bytes) {
                        table.hold(number, bytes);
                        *held.get_mut(&number).expect("a stream") += bytes;
                    }
                }
            }
            assert_eq!(table.held().bytes, held.values().sum::<usize>());
            assert!(table.held().bytes <= total);
        }
        for number in held.into_keys() {
            table.close(number);
        }
        assert_eq!(table.held(), Default::default(), "seed {seed}");
    }
}

/// Guards against a workspace whose many slow readers take the bytes that the answers of others need.
#[test]
fn slow_readers_of_one_workspace_leave_room_for_others() {
    for slow in [10, 100, 2_000] {
        let mut table = ReadAheadTable::new(ReadAheadBounds::new(TOTAL));
        let slow: Vec<u64> = (0..slow).map(|_| table.open(workspace(0))).collect();
        for _ in 0..200 {
            for number in &slow {
                if table.allows(*number, CHUNK) {
                    table.hold(*number, CHUNK);
                }
            }
        }
        assert!(table.held().bytes <= TOTAL / 2 + CHUNK);
        // Twenty answers of 128 KiB to other workspaces, whose callers pause.
        for other in 1..=20 {
            let number = table.open(workspace(other));
            for _ in 0..8 {
                assert!(table.allows(number, CHUNK), "workspace {other}");
                table.hold(number, CHUNK);
            }
        }
    }
}

/// Guards against a fast reader that is no longer read because of slow ones, and a slow one that is never read again.
#[test]
fn slowest_readers_are_denied_first_and_read_again_later() {
    let mut table = ReadAheadTable::new(ReadAheadBounds::new(TOTAL));
    let streams: Vec<u64> = (0..60)
        .map(|number| table.open(workspace(number)))
        .collect();
    let mut denied = [0; 60];
    for _ in 0..400 {
        for (index, number) in streams.iter().enumerate() {
            if table.allows(*number, CHUNK) {
                table.hold(*number, CHUNK);
            } else {
                denied[index] += 1;
            }
            // The first callers take as much as is read, the last ones nothing.
            table.release(*number, CHUNK * (60 - index) / 59);
        }
    }
    assert_eq!(denied[0], 0);
    assert!(denied[59] > 0 && denied[59] >= denied[30], "{denied:?}");
    for number in &streams[..59] {
        table.close(*number);
    }
    table.release(streams[59], usize::MAX);
    assert!(table.allows(streams[59], CHUNK));
    assert_eq!(table.held().denied_streams, 0);
}
