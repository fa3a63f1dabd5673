//! The kinds of messages, and how each is written on the wire.

/// What a message is. In parentheses: its name on the wire and the values that follow the name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// `TICK` (time): the clock of the batch that follows.
    SetClock,
    /// `END` (): the batch is complete and the reply is due.
    EndBatch,
    /// `SNAPSHOT_ROWS` (list number, rows): the rows of an endpoint list.
    StoreEndpointList,
    /// `CREATE` (instance, seed, settings): a new instance and its settings.
    CreateInstance,
    /// `KILLED` (instance): an instance has gone.
    RemoveInstance,
    /// Something happened to an instance.
    Event(EventKind),
}

/// What happened to an instance. In parentheses: the message's values on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventKind {
    /// `VIEW` (instance, list number, version, kind of update): discovery has sent an endpoint
    /// list to the instance.
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

/// How messages of one kind are written on the wire.
#[derive(Debug, PartialEq)]
pub struct WireFormat {
    /// The kind of the messages.
    pub kind: MessageKind,
    /// The name that a line starts with.
    pub name: &'static str,
    /// How many values follow the name.
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
    /// The format of the messages of this name.
    pub fn of_name(name: &str) -> Option<&'static WireFormat> {
        WIRE_FORMATS.iter().find(|format| format.name == name)
    }
}
