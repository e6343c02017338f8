//! Ends requests whose body was not read to its end, for example as their header was refused.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, EXPECT, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Response, Version};
use std::time::Duration;
use tokio::time::timeout;

/// Most bytes that are read to keep the connection usable.
const MAX_DISCARDED_BYTES: usize = 64 << 10;
/// Longest time that a response is delayed until the rest of the body has arrived.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(100);

/// Reads the rest of the body if it is short. Otherwise lets the response announce that the
/// connection closes, as it can't carry another request.
pub async fn finish<B>(head: &Parts, body: &mut Incoming, response: &mut Response<B>) {
    // HTTP/2 resets only the stream of the request.
    if head.version < Version::HTTP_2 && !discard(head, body).await {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
}

/// Returns whether the body has been read to its end.
async fn discard(head: &Parts, body: &mut Incoming) -> bool {
    // A client that waits for `100 Continue` would be asked to send its body.
    if head.headers.contains_key(EXPECT) && !body.is_end_stream() {
        return false;
    }
    timeout(DISCARD_TIMEOUT, read_to_end(body)).await.unwrap_or(false)
}

/// Returns whether the body ended before [`MAX_DISCARDED_BYTES`].
async fn read_to_end(body: &mut Incoming) -> bool {
    let mut discarded = 0;
    while discarded <= MAX_DISCARDED_BYTES {
        match body.frame().await {
            Some(Ok(frame)) => discarded += frame.data_ref().map_or(0, Bytes::len),
            Some(Err(_)) => return false,
            None => return true,
        }
    }
    false
}
