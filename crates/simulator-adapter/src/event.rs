//! Decodes messages that report an event to an instance into events of its balancer.

use crate::endpoint_lists::EndpointLists;
use crate::error::MessageError;
use crate::message::{EncodedEvent, EventKind, Field, ListNumber};
use brookstack_balancer::settings::Names;
use brookstack_balancer::{
    Arrival, AttemptEnd, AttemptNumber, ClassId, Endpoint, EndpointUpdate, Event, Micros, Outcome,
    RequestId, TenantId, TimerToken,
};
use serde_json::Value;

#[cfg(test)]
mod tests;

/// Bit in the flags of an arrival: the client has stated the expected work of the request.
const FLAG_WORK_HINT: u64 = 1;
/// Bit in the flags of an arrival: the client has marked the request as a retry.
const FLAG_RETRY: u64 = 2;

const EXPECTED_OUTCOME: &str = "an outcome code from 0 to 7";
const EXPECTED_UPDATE: &str = "incr, total, warm_copy or lost";

/// Decodes an event. Returns `None` for messages from other instances and for results of health
/// checks, because the balancer exchanges no messages and makes no health checks.
///
/// # Errors
/// A value has the wrong type, is out of range, or refers to an unknown list, class or tenant.
pub fn decode(
    event: &EncodedEvent,
    names: &Names,
    lists: &EndpointLists,
) -> Result<Option<Event>, MessageError> {
    let event = match event.kind() {
        EventKind::EndpointsUpdated => decode_endpoints_updated(event, lists)?,
        EventKind::RequestArrived => Event::Request(decode_arrival(event, names)?),
        EventKind::StreamStarted => decode_stream_started(event)?,
        EventKind::AttemptEnded => Event::AttemptEnded(decode_attempt_end(event)?),
        EventKind::ClientDisconnected => decode_client_disconnected(event)?,
        EventKind::TimerFired => decode_timer_fired(event)?,
        EventKind::PeerMessage | EventKind::HealthCheckResult => return Ok(None),
    };
    Ok(Some(event))
}

fn decode_endpoints_updated(
    event: &EncodedEvent,
    lists: &EndpointLists,
) -> Result<Event, MessageError> {
    let [_instance, list_number, _version, update] = event.fields()?;
    let update = decode_update(update)?;
    let endpoints = if update == EndpointUpdate::WatchFailed {
        // A failed watch delivers no list, so the list number is not checked.
        Vec::new()
    } else {
        find_list(list_number, lists)?.to_vec()
    };
    Ok(Event::EndpointsUpdated { update, endpoints })
}

fn find_list<'a>(field: Field, lists: &'a EndpointLists) -> Result<&'a [Endpoint], MessageError> {
    let number = field.unsigned("an endpoint list number")?;
    lists
        .get(ListNumber(number))
        .ok_or_else(|| field.invalid("a known endpoint list number"))
}

fn decode_update(field: Field) -> Result<EndpointUpdate, MessageError> {
    match field.text(EXPECTED_UPDATE)? {
        "incr" => Ok(EndpointUpdate::Delta),
        "total" => Ok(EndpointUpdate::Snapshot),
        "warm_copy" => Ok(EndpointUpdate::Cached),
        "lost" => Ok(EndpointUpdate::WatchFailed),
        _ => Err(field.invalid(EXPECTED_UPDATE)),
    }
}

fn decode_arrival(event: &EncodedEvent, names: &Names) -> Result<Arrival, MessageError> {
    let [_instance, request, work_hint, time_left, _key, tenant, flags, class] = event.fields()?;
    let flags = decode_flags(flags);
    let work_hint = decode_work_hint(work_hint, flags);
    let is_retry = flags & FLAG_RETRY != 0;
    let request = decode_request_id(request)?;
    let time_left = time_left.unsigned("the time left in microseconds")?;
    let tenant = decode_tenant(tenant, names)?;
    let class = decode_class(class, names)?;
    Ok(Arrival {
        request,
        class,
        tenant,
        time_left: Micros(time_left),
        work_hint,
        is_retry,
    })
}

/// Decodes the flags of a request. A value that is not an unsigned integer means that no flag is
/// set.
fn decode_flags(field: Field) -> u64 {
    field.value().as_u64().unwrap_or(0)
}

/// Decodes the work hint of a request, in microseconds. The request has no work hint if
/// [`FLAG_WORK_HINT`] is not set or the value is not an unsigned integer.
fn decode_work_hint(field: Field, flags: u64) -> Option<Micros> {
    if flags & FLAG_WORK_HINT == 0 {
        return None;
    }
    field.value().as_u64().map(Micros)
}

/// Decodes the tenant of a request. A value that is not a string means that the request has no
/// tenant.
fn decode_tenant(field: Field, names: &Names) -> Result<Option<TenantId>, MessageError> {
    let Value::String(name) = field.value() else {
        return Ok(None);
    };
    match names.tenant(name) {
        Some(tenant) => Ok(Some(tenant)),
        None => Err(field.invalid("a known tenant")),
    }
}

fn decode_class(field: Field, names: &Names) -> Result<ClassId, MessageError> {
    let name = field.text("a class name")?;
    names
        .class(name)
        .ok_or_else(|| field.invalid("a known class"))
}

fn decode_stream_started(event: &EncodedEvent) -> Result<Event, MessageError> {
    let [_instance, request, attempt, _backend, _latency] = event.fields()?;
    let request = decode_request_id(request)?;
    let attempt = decode_attempt_number(attempt)?;
    Ok(Event::StreamStarted { request, attempt })
}

fn decode_attempt_end(event: &EncodedEvent) -> Result<AttemptEnd, MessageError> {
    let [_instance, request, attempt, backend, outcome, latency, settled, _load_report] =
        event.fields()?;
    // The balancer identifies the backend by the request and the attempt, so only the type of this
    // value is checked.
    let _checked_backend = backend.text("a backend address")?;
    let request = decode_request_id(request)?;
    let attempt = decode_attempt_number(attempt)?;
    let outcome = decode_outcome(outcome)?;
    let latency = latency.unsigned("a latency in microseconds")?;
    let settled = settled.boolean("true or false")?;
    Ok(AttemptEnd {
        request,
        attempt,
        outcome,
        latency: Micros(latency),
        settled,
    })
}

fn decode_outcome(field: Field) -> Result<Outcome, MessageError> {
    match field.unsigned(EXPECTED_OUTCOME)? {
        0 => Ok(Outcome::Error),
        1 => Ok(Outcome::Success),
        2 => Ok(Outcome::Rejected),
        3 => Ok(Outcome::TimedOut),
        4 => Ok(Outcome::ConnectFailed),
        5 => Ok(Outcome::Reset),
        6 => Ok(Outcome::Cancelled),
        7 => Ok(Outcome::NotSent),
        _ => Err(field.invalid(EXPECTED_OUTCOME)),
    }
}

fn decode_client_disconnected(event: &EncodedEvent) -> Result<Event, MessageError> {
    let [_instance, request] = event.fields()?;
    let request = decode_request_id(request)?;
    Ok(Event::ClientDisconnected { request })
}

fn decode_timer_fired(event: &EncodedEvent) -> Result<Event, MessageError> {
    let [_instance, token] = event.fields()?;
    let token = token.unsigned("a timer token")?;
    Ok(Event::Timer {
        token: TimerToken(token),
    })
}

fn decode_request_id(field: Field) -> Result<RequestId, MessageError> {
    let id = field.request_id()?;
    Ok(RequestId(id))
}

fn decode_attempt_number(field: Field) -> Result<AttemptNumber, MessageError> {
    let number = field.unsigned("an attempt number")?;
    Ok(AttemptNumber(number as u32))
}
