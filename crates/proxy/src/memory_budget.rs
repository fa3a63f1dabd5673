//! The memory that connections and the contents of messages may take, and its reservation.
//!
//! The budget follows from the memory limit of the process, less what the process itself, its
//! tables and its endpoint list need. It has three shares that cannot take from each other:
//! - connections, each with its buffers and the content of small messages on it;
//! - the content of requests that are not small: parsed heads, bodies, and copies for attempts;
//! - the content of responses that are not small, until they are written to the client.
//!
//! Memory is reserved before it is filled, at the size that is allocated. A [`Reservation`] is kept
//! with what it is for and releases its part when it is dropped.

use crate::open_ids;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The memory of a client connection, its task and its buffers of 8 KiB, with a small request.
pub const CLIENT_CONNECTION_BYTES: usize = 20 << 10;
/// The memory of a connection to a backend, its attempt and its buffers of 8 KiB, with a small
/// response.
pub const BACKEND_CONNECTION_BYTES: usize = 18 << 10;
/// The content of a message up to this size is part of the memory of its connection.
pub const SMALL_CONTENT_BYTES: usize = 8 << 10;
/// By how much the buffers of a connection grow for heads of more than [`BUFFER_BYTES`], and for
/// heads with many fields. They do not shrink before the connection ends.
pub const GROWN_BUFFERS_BYTES: usize = 32 << 10;
/// The size of the buffers of a connection before they grow.
pub const BUFFER_BYTES: usize = 8 << 10;
/// The largest number of fields in the head of a message that does not make the buffers of a
/// connection grow.
pub const MAX_SMALL_FIELDS: usize = 32;

/// The part of the memory limit that is used, in percent. The allocator and the runtime take the
/// rest.
const USED_PERCENT: usize = 85;
/// The memory of the process without connections, requests, tenants and backends.
const PROCESS_BYTES: usize = 5 << 20;
/// The memory of a tenant in the tables of the balancer.
const TENANT_BYTES: usize = 860;
/// The memory of a backend on the endpoint list, in all tables.
const ENDPOINT_BYTES: usize = 1_000;
/// The budget is at least the memory limit divided by this number, however large the tables are.
const MIN_BUDGET_DIVISOR: usize = 4;
/// Connections get at most this part of the budget, in percent.
const MAX_CONNECTIONS_PERCENT: usize = 60;
/// Client connections get at most this part of what connections get, in percent.
const MAX_CLIENTS_PERCENT: usize = 70;
/// Reservations are counted in units of this many bytes.
const UNIT_BYTES: usize = 1 << 10;

/// What the budget is computed from.
#[derive(Clone, Copy, Debug)]
pub struct MemoryNeeds {
    /// The memory limit of the process, in bytes.
    pub limit_bytes: usize,
    /// The largest number of client connections that the descriptors allow.
    pub max_clients: usize,
    /// The largest number of connections to backends that the descriptors allow.
    pub max_backends: usize,
    /// The number of tenants in the settings.
    pub tenants: usize,
    /// The number of backends on the endpoint list.
    pub endpoints: usize,
}

/// What memory is reserved for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Share {
    /// Connections, with the content of small messages.
    Connections,
    /// The content of requests.
    Requests,
    /// The content of responses.
    Responses,
}

/// The memory of one share.
struct Pool {
    capacity: usize,
    available: Arc<Semaphore>,
}

impl Pool {
    fn new(bytes: usize) -> Pool {
        let capacity = bytes / UNIT_BYTES;
        Pool {
            capacity,
            available: Arc::new(Semaphore::new(capacity)),
        }
    }
}

/// The memory of the process that can be reserved.
pub struct MemoryBudget {
    connections: Pool,
    requests: Pool,
    responses: Pool,
    max_clients: usize,
}

/// Reserved memory. Dropping it releases the memory.
#[derive(Debug)]
pub struct Reservation(OwnedSemaphorePermit);

impl Reservation {
    /// Releases all but `bytes` of the reserved memory.
    pub fn shrink_to(&mut self, bytes: usize) {
        let excess = self.0.num_permits().saturating_sub(units(bytes) as usize);
        drop(self.0.split(excess));
    }
}

impl MemoryBudget {
    /// Computes the budget. Nothing is reserved yet.
    pub fn new(needs: MemoryNeeds) -> MemoryBudget {
        let total = total_bytes(&needs);
        let backends_bytes = needs.max_backends * BACKEND_CONNECTION_BYTES;
        let wanted = needs.max_clients * CLIENT_CONNECTION_BYTES + backends_bytes;
        let connections = wanted.min(total / 100 * MAX_CONNECTIONS_PERCENT);
        let content = total - connections;
        let max_clients = connections / 100 * MAX_CLIENTS_PERCENT / CLIENT_CONNECTION_BYTES;
        MemoryBudget {
            connections: Pool::new(connections),
            requests: Pool::new(content / 2),
            responses: Pool::new(content / 2),
            max_clients: needs.max_clients.min(max_clients),
        }
    }

    /// The largest number of client connections. Connections to backends may take what client
    /// connections leave.
    pub fn max_clients(&self) -> usize {
        self.max_clients
    }

    /// Reserves memory; `None` if not enough is available.
    pub fn try_reserve(&self, share: Share, bytes: usize) -> Option<Reservation> {
        let available = self.pool(share).available.clone();
        let permit = available.try_acquire_many_owned(units(bytes)).ok()?;
        Some(Reservation(permit))
    }

    /// Reserves memory as soon as it is available. Reservations are granted in the order in which
    /// they were asked for. Returns `None` if the share is smaller than that.
    pub async fn reserve(&self, share: Share, bytes: usize) -> Option<Reservation> {
        let pool = self.pool(share);
        if units(bytes) as usize > pool.capacity {
            return None;
        }
        let available = pool.available.clone();
        let permit = available.acquire_many_owned(units(bytes)).await.ok()?;
        Some(Reservation(permit))
    }

    /// Reserves memory for the buffers of a connection, which it keeps while it is idle; `None` if
    /// over half of the memory for requests is reserved.
    pub fn try_reserve_grown_buffers(&self) -> Option<Reservation> {
        let pool = &self.requests;
        let is_scarce = pool.available.available_permits() < pool.capacity / 2;
        if is_scarce {
            return None;
        }
        self.try_reserve(Share::Requests, GROWN_BUFFERS_BYTES)
    }

    /// Reserves memory for a parsed head while its request waits for the rest; `None` if that would
    /// leave too little for connections.
    pub fn try_reserve_waiting_head(&self, bytes: usize) -> Option<Reservation> {
        let pool = &self.connections;
        let is_scarce = pool.available.available_permits() < pool.capacity / 4;
        if is_scarce {
            return None;
        }
        self.try_reserve(Share::Connections, bytes)
    }

    /// Whether that much memory can be reserved now.
    pub fn has_room(&self, share: Share, bytes: usize) -> bool {
        self.pool(share).available.available_permits() >= units(bytes) as usize
    }

    /// The memory that is reserved now, in bytes.
    pub fn reserved_bytes(&self, share: Share) -> usize {
        let pool = self.pool(share);
        (pool.capacity - pool.available.available_permits()) * UNIT_BYTES
    }

    /// The memory of a share, in bytes.
    pub fn capacity_bytes(&self, share: Share) -> usize {
        self.pool(share).capacity * UNIT_BYTES
    }

    fn pool(&self, share: Share) -> &Pool {
        match share {
            Share::Connections => &self.connections,
            Share::Requests => &self.requests,
            Share::Responses => &self.responses,
        }
    }
}

fn total_bytes(needs: &MemoryNeeds) -> usize {
    let used = needs.limit_bytes / 100 * USED_PERCENT;
    let open_ids = needs.limit_bytes / open_ids::MEMORY_DIVISOR;
    let tables = needs.tenants * TENANT_BYTES + needs.endpoints * ENDPOINT_BYTES + open_ids;
    used.saturating_sub(PROCESS_BYTES + tables)
        .max(needs.limit_bytes / MIN_BUDGET_DIVISOR)
}

fn units(bytes: usize) -> u32 {
    u32::try_from(bytes.div_ceil(UNIT_BYTES)).unwrap_or(u32::MAX)
}

#[cfg(test)]
mod tests;
