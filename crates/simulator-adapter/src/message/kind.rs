//! The kinds of messages and their wire formats.

/// The kind of a message. Each variant lists the name on the wire and, in parentheses, the values
/// that follow the name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// `TICK` (time): starts a batch if none is open, and sets its clock.
    SetClock,
    /// `END` (): ends the batch; its reply must be written.
    EndBatch,
    /// `SNAPSHOT_ROWS` (list number, rows): stores an endpoint list.
    StoreEndpointList,
    /// `CREATE` (instance, seed, settings): creates an instance.
    CreateInstance,
    /// `KILLED` (instance): removes an instance.
    RemoveInstance,
    /// Reports an event to an instance.
    Event(EventKind),
}

/// The kind of an event. Each variant lists the name on the wire and, in parentheses, the values
/// that follow the name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventKind {
    /// `VIEW` (instance, list number, version, kind of update): discovery has sent an endpoint
    /// list to the instance, or the watch on it has failed.
    EndpointsUpdated,
    /// `JOB_IN` (instance, request, work hint, time left, key, tenant, flags, class): a request has
    /// arrived.
    RequestArrived,
    /// `ESTABLISHED` (instance, request, attempt, backend, latency): the response to a streaming
    /// attempt has begun.
    StreamStarted,
    /// `RETURNED` (instance, request, attempt, backend, outcome, latency, settled, load report): an
    /// attempt has ended.
    AttemptEnded,
    /// `VANISHED` (instance, request): a client has closed its connection.
    ClientDisconnected,
    /// `TIMEOUT_FIRED` (instance, token): a timer has expired.
    TimerFired,
    /// `MEMO` (instance, sender, data): another instance has sent a message.
    PeerMessage,
    /// `STATUS_BACK` (instance, latency, outcome, backend, load report): a health check has ended.
    HealthCheckResult,
}

/// The wire format of the messages of one kind.
#[derive(Debug, PartialEq)]
pub struct WireFormat {
    /// The kind of the messages.
    pub kind: MessageKind,
    /// The name that a line starts with.
    pub name: &'static str,
    /// The number of values that follow the name.
    pub value_count: usize,
}

/// The wire formats of all messages.
pub const WIRE_FORMATS: [WireFormat; 13] = [
    message("TICK", 1, MessageKind::SetClock),
    message("END", 0, MessageKind::EndBatch),
    message("SNAPSHOT_ROWS", 2, MessageKind::StoreEndpointList),
    message("CREATE", 3, MessageKind::CreateInstance),
    message("KILLED", 1, MessageKind::RemoveInstance),
    event("VIEW", 4, EventKind::EndpointsUpdated),
    event("JOB_IN", 8, EventKind::RequestArrived),
    event("ESTABLISHED", 5, EventKind::StreamStarted),
    event("RETURNED", 8, EventKind::AttemptEnded),
    event("VANISHED", 2, EventKind::ClientDisconnected),
    event("TIMEOUT_FIRED", 2, EventKind::TimerFired),
    event("MEMO", 3, EventKind::PeerMessage),
    event("STATUS_BACK", 5, EventKind::HealthCheckResult),
];

const fn message(name: &'static str, value_count: usize, kind: MessageKind) -> WireFormat {
    WireFormat {
        kind,
        name,
        value_count,
    }
}

const fn event(name: &'static str, value_count: usize, kind: EventKind) -> WireFormat {
    message(name, value_count, MessageKind::Event(kind))
}

impl WireFormat {
    /// Returns the format of the messages with this name.
    pub fn find_by_name(name: &str) -> Option<&'static WireFormat> {
        WIRE_FORMATS.iter().find(|format| format.name == name)
    }
}
