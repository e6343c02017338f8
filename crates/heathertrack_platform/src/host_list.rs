use crate::{Client, Fault};
use bytes::Bytes;
use heathertrack_wire::host_list::HostList as List;
use http_body_util::Full;
use hyper::header::{ETAG, HeaderValue, IF_NONE_MATCH};
use hyper::{Request, Response, StatusCode, Uri};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Timeout of a request for the list.
const TIMEOUT: Duration = Duration::from_secs(1);

/// The platform's list of live and leaving hosts. It lags behind the actual state.
pub trait HostList: Clone + Send + Sync + 'static {
    /// Fetches the list.
    fn fetch(&self) -> impl Future<Output = Result<List, Fault>> + Send;
}

/// A host list that is served as one JSON document over HTTP.
///
/// Requests are conditional if the server sends entity tags (RFC 9110): an unchanged list is not
/// transferred again.
#[derive(Clone, Debug)]
pub struct HttpHostList {
    client: Client,
    uri: Uri,
    last: Arc<Mutex<Option<Tagged>>>,
}

/// The last received list, with its entity tag.
#[derive(Clone, Debug)]
struct Tagged {
    tag: HeaderValue,
    list: List,
}

impl HttpHostList {
    /// Creates a client of the document at `uri`.
    pub fn open(uri: Uri) -> Self {
        HttpHostList { client: Client::open(TIMEOUT), uri, last: Arc::default() }
    }
}

impl HostList for HttpHostList {
    async fn fetch(&self) -> Result<List, Fault> {
        let last = self.last().clone();
        let mut request = Request::get(&self.uri);
        if let Some(last) = &last {
            request = request.header(IF_NONE_MATCH, &last.tag);
        }
        let request = request.body(Full::default());
        let request = request.map_err(|error| Fault::Unreachable(error.to_string()))?;
        let answer = self.client.send_whole(request).await?;
        match (answer.status(), last) {
            (StatusCode::NOT_MODIFIED, Some(last)) => Ok(last.list),
            (StatusCode::OK, _) => self.take(&answer),
            (status, _) => Err(Fault::BadAnswer(format!("status {status}"))),
        }
    }
}

impl HttpHostList {
    fn take(&self, answer: &Response<Bytes>) -> Result<List, Fault> {
        let list: List = serde_json::from_slice(answer.body())
            .map_err(|error| Fault::BadAnswer(error.to_string()))?;
        let tag = answer.headers().get(ETAG).cloned();
        *self.last() = tag.map(|tag| Tagged { tag, list: list.clone() });
        Ok(list)
    }

    fn last(&self) -> MutexGuard<'_, Option<Tagged>> {
        self.last.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
