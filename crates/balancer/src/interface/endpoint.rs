//! The endpoint list: its entries and the kinds of update that discovery sends.

use crate::{BackendId, CellId, MachineTypeId, Time, ZoneId};

/// An entry of the endpoint list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Endpoint {
    /// The backend that the entry describes.
    pub id: BackendId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// Its machine type.
    pub machine_type: MachineTypeId,
    /// Whether it accepts new requests.
    pub state: BackendState,
    /// When its process last started; `None` if long ago.
    pub started_at: Option<Time>,
    /// The entry's weight; only the weights of one machine type can be compared. The balancer uses
    /// it if [`Config::live_weights`](crate::Config::live_weights) is set.
    pub weight: f64,
}

/// Whether a backend accepts new requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BackendState {
    /// It accepts requests.
    Ready,
    /// It accepts no new requests and finishes those that it has.
    Draining,
    /// It has left the fleet.
    #[default]
    Removed,
}

/// What a watch event or the end of a watch says about the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// The entries that changed.
    Delta,
    /// The complete list; an absent backend has been removed.
    Snapshot,
    /// The complete list as it was cached before this proxy restarted, possibly stale.
    Cached,
    /// The poll or the watch failed; the current list stays in force.
    WatchFailed,
    /// The poll or the watch timed out without a response; the current list stays in force.
    WatchTimedOut,
}
