//! How many connections of callers the memory and the file descriptors of a machine bear.

/// Size of the receive buffer of a caller's connection that the operating system is asked for, in bytes.
pub const RECEIVE_BUFFER: usize = 16 * 1024;
/// Size of the buffer that it allocates: Linux doubles what it is asked for, for its own records.
const ALLOCATED_BUFFER: usize = 2 * RECEIVE_BUFFER;

/// Memory of the process without requests and connections, in bytes.
const PROCESS_BYTES: usize = 24 * 1024 * 1024;
/// Memory of a connection besides the read buffer and what lies unread: its task, its write buffer, its socket.
const CONNECTION_BYTES: usize = 20 * 1024;
/// Share of the reserved memory that the allocator can't use again at once, as a divisor.
const FRAGMENTATION_DIVISOR: usize = 4;
/// Share of the descriptors for the store, other nodes, probes and operators, as a divisor.
const OWN_DIVISOR: usize = 8;
/// Descriptors of a caller: its connection, and one to the server that runs its request.
const DESCRIPTORS_PER_CALLER: usize = 2;
/// Smallest maximum number of connections.
const MIN_CONNECTIONS: usize = 32;

/// Memory and file descriptors of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MachineLimits {
    /// Memory in bytes.
    pub memory_bytes: usize,
    /// Memory in bytes that is reserved for requests and answers.
    pub reserved_bytes: usize,
    /// Number of file descriptors for sockets.
    pub descriptors: usize,
}

/// What limits the number of callers' connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionBounds {
    /// Memory in bytes that connections may take.
    pub memory_bytes: usize,
    /// Maximum number of connections by file descriptors.
    pub max_by_descriptors: usize,
}

impl ConnectionBounds {
    /// Creates the bounds of a machine.
    pub fn new(machine: MachineLimits) -> Self {
        let fragmented = machine.reserved_bytes / FRAGMENTATION_DIVISOR;
        let used = PROCESS_BYTES + machine.reserved_bytes + fragmented;
        let for_callers = machine.descriptors - machine.descriptors / OWN_DIVISOR;
        Self {
            memory_bytes: machine.memory_bytes.saturating_sub(used),
            max_by_descriptors: for_callers / DESCRIPTORS_PER_CALLER,
        }
    }

    /// Returns the maximum number of connections, each with a read buffer of this many bytes.
    pub fn max_connections(&self, read_buffer: usize) -> usize {
        let each = CONNECTION_BYTES + read_buffer + ALLOCATED_BUFFER;
        let by_memory = self.memory_bytes / each;
        by_memory.min(self.max_by_descriptors).max(MIN_CONNECTIONS)
    }
}
