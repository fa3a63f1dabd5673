//! The messages that other parts of the proxy send to the driver, and the driver's responses.

use crate::backend_response::AttemptResult;
use crate::discovery::endpoint_list::ResolvedEndpoint;
use crate::forwarded_request::ForwardedRequest;
use crate::open_ids::OpenId;
use brookstack_balancer::{
    AttemptNumber, ClassId, EndpointUpdate, Micros, RequestId, TenantId, Time,
};
use bytes::Bytes;
use hyper::Response;
use std::rc::Rc;
use tokio::sync::oneshot;

/// The final response to a request. Each request gets at most one.
pub enum FinalResponse {
    /// A backend's response.
    Served(Response<Bytes>),
    /// The request was rejected. The client may retry after the given time.
    Rejected(Micros),
    /// The request failed. The client gets an error response.
    Failed,
}

/// A completely received request that is sent to the driver.
pub struct IncomingRequest {
    /// The identifier of the request within this proxy.
    pub id: RequestId,
    /// The traffic class.
    pub class: ClassId,
    /// The tenant, or `None` if no tenants are configured.
    pub tenant: Option<TenantId>,
    /// The deadline of the request. It lies before the time at which the client gives up.
    pub deadline: Time,
    /// The work that the client expects, as processor time on a standard core.
    pub work_hint: Option<Micros>,
    /// Whether the client marked the request as its own retry of an earlier request.
    pub is_retry: bool,
    /// The request as it is forwarded to backends.
    pub forwarded: Rc<ForwardedRequest>,
    /// Keeps the correlation identifier open.
    pub open_id: Rc<OpenId>,
    /// The sender for the final response.
    pub reply: oneshot::Sender<FinalResponse>,
}

/// Identifies an attempt within the proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptId {
    /// The identifier of the request.
    pub request: RequestId,
    /// The number of the attempt within the request.
    pub attempt: AttemptNumber,
}

/// What the driver is told about an answer of discovery.
pub struct DiscoveryAnswer {
    /// The version of the endpoint list.
    pub version: u64,
    /// How long discovery worked on the call, if it did not wait for a change.
    pub service_time: Option<Micros>,
    /// How long before this message the list was complete, with this answer.
    pub age: Micros,
}

/// An event in the proxy that the driver handles.
pub enum DriverEvent {
    /// A request was received completely.
    RequestArrived(IncomingRequest),
    /// The client disconnected, so the request needs no response any more.
    ClientDisconnected(RequestId),
    /// The response to an attempt has arrived and is held back.
    ResponseHeld(AttemptId),
    /// An attempt has ended. The driver ignores the event for an attempt that it has aborted.
    AttemptEnded(AttemptId, AttemptResult),
    /// Discovery answered a call. The list in the answer is a separate event.
    DiscoveryAnswered(DiscoveryAnswer),
    /// An endpoint list or changes to it were loaded or received, or a call to discovery failed.
    EndpointsUpdated(EndpointUpdate, Vec<ResolvedEndpoint>),
}
