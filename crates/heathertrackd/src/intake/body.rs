//! Reads the body of a request without holding more than it has.

use super::connection::Guard;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

/// First size of the buffer of a body that arrives in parts.
const FIRST_BYTES: usize = 4 << 10;

/// Why a body has not been read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// It is larger than the limit.
    TooLarge,
    /// The connection failed, or the body is malformed.
    Broken,
    /// There is no room for it.
    NoRoom,
}

/// Reads a whole body of at most `limit` bytes. What it holds is charged to its connection.
///
/// Parts are copied together, as each keeps the whole buffer that it was read into.
pub async fn read(body: &mut Incoming, limit: usize, guard: &Guard) -> Result<Bytes, Error> {
    if body.size_hint().lower() > limit as u64 {
        return Err(Error::TooLarge);
    }
    let expected = body.size_hint().upper().map_or(limit, |upper| limit.min(upper as usize));
    let mut whole: Vec<u8> = Vec::new();
    while let Some(frame) = body.frame().await {
        // Trailers are ignored.
        let Ok(part) = frame.map_err(|_| Error::Broken)?.into_data() else { continue };
        if whole.is_empty() && body.is_end_stream() && part.len() <= limit {
            return Ok(part);
        }
        let length = whole.len() + part.len();
        if length > limit {
            return Err(Error::TooLarge);
        }
        if length > whole.capacity() {
            let capacity = length.max(2 * whole.capacity()).max(FIRST_BYTES);
            let capacity = capacity.min(expected.max(length));
            if !guard.hold(capacity) {
                return Err(Error::NoRoom);
            }
            whole.reserve_exact(capacity - whole.len());
        }
        whole.extend_from_slice(&part);
    }
    Ok(whole.into())
}
