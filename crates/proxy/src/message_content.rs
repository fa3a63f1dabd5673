//! The memory of the content of messages: what parsed heads cost, and bodies that are read into one
//! buffer for which memory is reserved.

use crate::memory_budget::{MemoryBudget, Reservation, Share, SMALL_CONTENT_BYTES};
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Limited};
use hyper::body::Body;
use hyper::header::{HeaderMap, HeaderValue};
use std::error::Error;

/// The memory of a parsed field without its text: its entries in the map of fields, and the
/// overhead of its name.
const FIELD_BYTES: usize = 144;
/// The size of the first buffer for a body whose length is not announced.
const FIRST_BUFFER_BYTES: usize = 1 << 10;

/// The memory of parsed fields, in bytes.
pub fn fields_bytes(headers: &HeaderMap) -> usize {
    headers.len() * FIELD_BYTES + text_bytes(headers)
}

/// The length of all names and values of the fields.
pub fn text_bytes(headers: &HeaderMap) -> usize {
    let fields = headers.iter();
    fields
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum()
}

/// Copies the values of the fields into a buffer of their size. Parsed values are parts of the
/// buffer into which the connection was read, and each of them keeps all of that.
pub fn detach_values(headers: &mut HeaderMap) {
    let value_bytes = headers.values().map(HeaderValue::len).sum();
    let mut buffer = BytesMut::with_capacity(value_bytes);
    for value in headers.values_mut() {
        buffer.extend_from_slice(value.as_bytes());
        if let Ok(copy) = HeaderValue::from_maybe_shared(buffer.split().freeze()) {
            *value = copy;
        }
    }
}

/// Why a body could not be read.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// It was truncated, malformed or longer than the limit.
    #[error("{0}")]
    Broken(#[source] Box<dyn Error + Send + Sync>),
    /// There is not that much memory for bodies.
    #[error("the memory for bodies is smaller than the body")]
    TooLargeForMemory,
}

/// Bytes that keep the reservation of their memory.
struct ReservedBytes {
    bytes: Vec<u8>,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Bytes that keep a reservation of memory until the last copy of them is dropped.
fn with_reservation(bytes: Vec<u8>, reservation: Option<Reservation>) -> Bytes {
    match reservation {
        Some(reservation) => Bytes::from_owner(ReservedBytes {
            bytes,
            _reservation: reservation,
        }),
        None => bytes.into(),
    }
}

/// Reads the body of a request, of which `length` bytes are announced and reserved, into one
/// buffer.
pub async fn read_announced_body<B>(body: B, length: usize) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes, Error: Into<Box<dyn Error + Send + Sync>>> + Unpin,
{
    let mut bytes = Vec::with_capacity(length);
    append_frames(&mut Limited::new(body, length), &mut bytes, length).await?;
    Ok(bytes.into())
}

/// Reads the body of a response of at most `max_bytes` bytes, and reserves memory for it and for
/// the fields of the response unless they are small. Before the memory is reserved, the rest is not
/// read.
pub async fn read_response_body<B>(
    body: B,
    fields_bytes: usize,
    max_bytes: usize,
    memory: &MemoryBudget,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes, Error: Into<Box<dyn Error + Send + Sync>>> + Unpin,
{
    let announced = body.size_hint().exact().map(|length| length as usize);
    let mut reservation = None;
    let mut bytes = Vec::new();
    let mut body = Limited::new(body, max_bytes);
    let mut unreserved_bytes = SMALL_CONTENT_BYTES.saturating_sub(fields_bytes);
    let content_bytes = fields_bytes + announced.unwrap_or(0);
    if content_bytes > SMALL_CONTENT_BYTES && announced.is_some() {
        reservation = Some(reserve(memory, content_bytes).await?);
        unreserved_bytes = max_bytes;
    }
    bytes.reserve_exact(announced.unwrap_or(0).min(max_bytes));
    let has_ended = append_frames(&mut body, &mut bytes, unreserved_bytes).await?;
    if !has_ended {
        let mut whole = reserve(memory, fields_bytes + max_bytes).await?;
        append_frames(&mut body, &mut bytes, max_bytes).await?;
        bytes.shrink_to_fit();
        whole.shrink_to(fields_bytes + bytes.len());
        reservation = Some(whole);
    }
    Ok(with_reservation(bytes, reservation))
}

async fn reserve(memory: &MemoryBudget, bytes: usize) -> Result<Reservation, BodyError> {
    let reservation = memory.reserve(Share::Responses, bytes).await;
    reservation.ok_or(BodyError::TooLargeForMemory)
}

/// Appends the frames of a body until its end, or until it has over `until_bytes` bytes. Returns
/// whether it has ended. Each frame is copied, because it keeps the whole buffer into which it was
/// read.
async fn append_frames<B>(
    body: &mut Limited<B>,
    bytes: &mut Vec<u8>,
    until_bytes: usize,
) -> Result<bool, BodyError>
where
    B: Body<Data = Bytes, Error: Into<Box<dyn Error + Send + Sync>>> + Unpin,
{
    while bytes.len() <= until_bytes {
        let Some(frame) = body.frame().await else {
            return Ok(true);
        };
        if let Ok(chunk) = frame.map_err(BodyError::Broken)?.into_data() {
            reserve_capacity(bytes, chunk.len());
            bytes.extend_from_slice(&chunk);
        }
    }
    Ok(false)
}

/// Makes room for more bytes. The buffer grows by half, so that it is never much larger than its
/// content.
fn reserve_capacity(bytes: &mut Vec<u8>, additional: usize) {
    if bytes.capacity() - bytes.len() < additional {
        let half = bytes.capacity() / 2;
        bytes.reserve_exact(additional.max(half).max(FIRST_BUFFER_BYTES));
    }
}

#[cfg(test)]
mod tests;
