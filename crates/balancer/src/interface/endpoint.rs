//! The endpoint list: its entries, and the kinds of update that the host reports.

use crate::{BackendId, CellId, MachineTypeId, Micros, Time, ZoneId};

/// An entry of the endpoint list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Endpoint {
    /// The backend that the entry describes.
    pub id: BackendId,
    /// The backend's availability zone.
    pub zone: ZoneId,
    /// The backend's cell.
    pub cell: CellId,
    /// The backend's machine type.
    pub machine_type: MachineTypeId,
    /// Whether the backend accepts new requests.
    pub state: BackendState,
    /// When the backend's process last started; `None` if so long ago that it is past its slow
    /// start.
    pub started_at: Option<Time>,
    /// The backend's weight. Only the weights of backends of the same machine type are comparable.
    /// The balancer uses it only if [`Config::live_weights`](crate::Config::live_weights) is set.
    pub weight: f64,
}

/// Whether a backend accepts new requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BackendState {
    /// The backend accepts requests.
    Ready,
    /// The backend accepts no new requests and finishes the ones that it has.
    Draining,
    /// The backend has left the fleet.
    #[default]
    Removed,
}

/// How an event of the watch on discovery changes the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// The update contains only the entries that changed.
    Delta,
    /// The update is the complete list; a backend that is not in it has been removed.
    Snapshot,
    /// The update is the complete list as this proxy cached it before it restarted. It may be
    /// stale, or empty if there was no cached list.
    Cached,
    /// The poll or the watch ended without an answer.
    WatchFailed,
    /// The host calls another discovery service from now on, beginning with a call for the complete
    /// list.
    SourceChanged,
    /// Discovery began an answer to the poll or the watch, but it did not arrive completely or is
    /// invalid. The current list probably lacks a change.
    AnswerSpoilt {
        /// How long before this update the answer began.
        begun_before: Micros,
    },
    /// The poll or the watch timed out without a response.
    WatchTimedOut,
}
