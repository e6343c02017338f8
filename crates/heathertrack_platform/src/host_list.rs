use crate::{Client, Fault};
use heathertrack_wire::host_list::HostList as List;
use hyper::{Method, StatusCode, Uri};
use std::time::Duration;

/// Time after which a call for the list is given up.
const TIMEOUT: Duration = Duration::from_secs(1);

/// The platform's list of live and leaving hosts; it lags.
pub trait HostList: Clone + Send + Sync + 'static {
    /// Fetches the list.
    fn fetch(&self) -> impl Future<Output = Result<List, Fault>> + Send;
}

/// A host list that is one JSON document over HTTP.
#[derive(Clone, Debug)]
pub struct HttpHostList {
    client: Client,
    uri: Uri,
}

impl HttpHostList {
    /// Fetches the document at `uri`.
    pub fn open(uri: Uri) -> Self {
        HttpHostList { client: Client::open(TIMEOUT), uri }
    }
}

impl HostList for HttpHostList {
    async fn fetch(&self) -> Result<List, Fault> {
        let (status, body) = self.client.call(Method::GET, &self.uri, Vec::new()).await?;
        if status != StatusCode::OK {
            return Err(Fault::BadAnswer(format!("status {status}")));
        }
        serde_json::from_slice(&body).map_err(|error| Fault::BadAnswer(error.to_string()))
    }
}
