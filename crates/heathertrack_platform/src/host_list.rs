use crate::{CallError, Client};
use bytes::Bytes;
use heathertrack_wire::host_list::HostList as List;
use http_body_util::Full;
use hyper::header::{ETAG, HeaderValue, IF_NONE_MATCH};
use hyper::{Request, Response, StatusCode, Uri};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Timeout of a request for the list.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Source of the platform's list of live and leaving hosts, which lags behind the actual state.
pub trait HostList: Clone + Send + Sync + 'static {
    /// Fetches the list.
    fn fetch(&self) -> impl Future<Output = Result<List, CallError>> + Send;
}

/// A host list that is served as one JSON document over HTTP.
///
/// Requests are conditional if the server sends entity tags (RFC 9110): an unchanged list is not
/// transferred again.
#[derive(Clone, Debug)]
pub struct HttpHostList {
    client: Client,
    uri: Uri,
    /// `None` before the first response, and if the last one had no entity tag.
    cached: Arc<Mutex<Option<Tagged>>>,
}

/// The last received list, with its entity tag.
#[derive(Clone, Debug)]
struct Tagged {
    tag: HeaderValue,
    list: List,
}

impl HttpHostList {
    /// Creates a client of the document at `uri`.
    pub fn new(uri: Uri) -> Self {
        HttpHostList { client: Client::new(FETCH_TIMEOUT), uri, cached: Arc::default() }
    }
}

impl HostList for HttpHostList {
    async fn fetch(&self) -> Result<List, CallError> {
        let cached = self.cached().clone();
        let mut request = Request::get(&self.uri);
        if let Some(cached) = &cached {
            request = request.header(IF_NONE_MATCH, &cached.tag);
        }
        let request = request.body(Full::default());
        let request = request.map_err(|error| CallError::Unreachable(error.to_string()))?;
        let response = self.client.request(request).await?;
        match (response.status(), cached) {
            (StatusCode::NOT_MODIFIED, Some(cached)) => Ok(cached.list),
            (StatusCode::OK, _) => self.parse_and_cache(&response),
            (status, _) => Err(CallError::BadResponse(format!("status {status}"))),
        }
    }
}

impl HttpHostList {
    fn parse_and_cache(&self, response: &Response<Bytes>) -> Result<List, CallError> {
        let list: List = serde_json::from_slice(response.body())
            .map_err(|error| CallError::BadResponse(error.to_string()))?;
        let tag = response.headers().get(ETAG).cloned();
        *self.cached() = tag.map(|tag| Tagged { tag, list: list.clone() });
        Ok(list)
    }

    fn cached(&self) -> MutexGuard<'_, Option<Tagged>> {
        self.cached.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
