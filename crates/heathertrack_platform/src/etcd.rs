use crate::{CallError, Client, Store, Swap, SwapResult, Value};
use heathertrack_wire::store::{
    Bytes64, Compare, CompareResult, CompareTarget, KeyValue, Number, PutRequest, RangeRequest,
    RangeResponse, RequestOp, ResponseOp, TxnRequest, TxnResponse,
};
use hyper::{Method, StatusCode, Uri};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Timeout of a call to the store at one address.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Client of the etcd v3 API in its JSON form (`POST /v3/kv/...`).
#[derive(Clone, Debug)]
pub struct Etcd {
    client: Client,
    addresses: Arc<[SocketAddr]>,
    /// Index of the address at which a call last ended without [`CallError::Unreachable`]; it is
    /// tried first.
    preferred: Arc<AtomicUsize>,
}

impl Etcd {
    /// Creates a client of the store at these addresses. If a call fails at one with
    /// [`CallError::Unreachable`], it tries the next.
    pub fn new(addresses: impl IntoIterator<Item = SocketAddr>) -> Self {
        Etcd {
            client: Client::new(CALL_TIMEOUT),
            addresses: addresses.into_iter().collect(),
            preferred: Arc::new(AtomicUsize::new(0)),
        }
    }

    async fn call<T: DeserializeOwned>(
        &self,
        path: &str,
        request: &impl Serialize,
    ) -> Result<T, CallError> {
        let body = serde_json::to_vec(request).expect("a request is always JSON");
        let mut last_error = CallError::Unreachable("no address is set".to_owned());
        let preferred = self.preferred.load(Ordering::Relaxed);
        for offset in 0..self.addresses.len() {
            let index = (preferred + offset) % self.addresses.len();
            match self.call_at(self.addresses[index], path, body.clone()).await {
                // Only a request that was never sent may go to another address; any other may have
                // taken effect.
                Err(CallError::Unreachable(reason)) => last_error = CallError::Unreachable(reason),
                result => {
                    self.preferred.store(index, Ordering::Relaxed);
                    return result;
                }
            }
        }
        Err(last_error)
    }

    async fn call_at<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        body: Vec<u8>,
    ) -> Result<T, CallError> {
        let uri: Uri = format!("http://{address}{path}")
            .parse()
            .map_err(|error| CallError::Unreachable(format!("{error}")))?;
        let (status, body) = self.client.call(Method::POST, &uri, body).await?;
        if status != StatusCode::OK {
            return Err(CallError::BadResponse(format!("status {status}")));
        }
        serde_json::from_slice(&body).map_err(|error| CallError::BadResponse(error.to_string()))
    }
}

impl Store for Etcd {
    async fn get_newer(&self, key: &str, revision: u64) -> Result<Option<Value>, CallError> {
        // A `min_mod_revision` of zero sets no minimum; any other is inclusive, so the first newer
        // revision is one higher.
        let min_mod_revision = Number(if revision == 0 { 0 } else { revision as i64 + 1 });
        let request = RangeRequest { key: key.into(), min_mod_revision, ..Default::default() };
        let response: RangeResponse = self.call("/v3/kv/range", &request).await?;
        response.kvs.first().map(parse_value).transpose()
    }

    async fn get_at(&self, key: &str, revision: u64) -> Result<Option<Value>, CallError> {
        let revision = Number(revision as i64);
        let request = RangeRequest { key: key.into(), revision, ..Default::default() };
        let response: RangeResponse = self.call("/v3/kv/range", &request).await?;
        response.kvs.first().map(parse_value).transpose()
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Value>, CallError> {
        let range_end = Some(end_of_prefix(prefix));
        let request = RangeRequest { key: prefix.into(), range_end, ..Default::default() };
        let response: RangeResponse = self.call("/v3/kv/range", &request).await?;
        response.kvs.iter().map(parse_value).collect()
    }

    async fn swap(&self, swaps: Vec<Swap>) -> Result<Vec<SwapResult>, CallError> {
        // One nested transaction for each key, so that each succeeds or fails independently.
        let success =
            swaps.iter().map(|swap| RequestOp::RequestTxn(swap_transaction(swap))).collect();
        let request = TxnRequest { success, ..TxnRequest::default() };
        let response: TxnResponse = self.call("/v3/kv/txn", &request).await?;
        if response.responses.len() != swaps.len() {
            return Err(CallError::BadResponse("an answer per operation is missing".to_owned()));
        }
        let revision = response.header.revision.0 as u64;
        response.responses.iter().map(|op| parse_swap_response(op, revision)).collect()
    }

    async fn delete(&self, first: &str, end: &str) -> Result<(), CallError> {
        let request =
            RangeRequest { key: first.into(), range_end: Some(end.into()), ..Default::default() };
        let _: serde_json::Value = self.call("/v3/kv/deleterange", &request).await?;
        Ok(())
    }
}

/// Returns a transaction that writes the key if it has the expected revision, and reads it
/// otherwise.
fn swap_transaction(swap: &Swap) -> TxnRequest {
    let key = Bytes64::from(swap.key.as_str());
    let put = PutRequest { key: key.clone(), value: Bytes64(swap.value.clone()), lease: Number(0) };
    TxnRequest {
        compare: vec![Compare {
            result: CompareResult::Equal,
            target: CompareTarget::Mod,
            key: key.clone(),
            mod_revision: Number(swap.expected as i64),
        }],
        success: vec![RequestOp::RequestPut(put)],
        failure: vec![RequestOp::RequestRange(RangeRequest { key, ..Default::default() })],
    }
}

fn parse_swap_response(response: &ResponseOp, revision: u64) -> Result<SwapResult, CallError> {
    let ResponseOp::ResponseTxn(txn) = response else {
        return Err(CallError::BadResponse("an answer to a transaction was expected".to_owned()));
    };
    if txn.succeeded {
        // The header of the response has the revision of all writes of the transaction.
        return Ok(SwapResult::Applied(revision));
    }
    match txn.responses.first() {
        Some(ResponseOp::ResponseRange(range)) => {
            Ok(SwapResult::Conflict(range.kvs.first().map(parse_value).transpose()?))
        }
        _ => Err(CallError::BadResponse("an answer to a read was expected".to_owned())),
    }
}

fn parse_value(pair: &KeyValue) -> Result<Value, CallError> {
    let key = String::from_utf8(pair.key.0.clone());
    let key = key.map_err(|_| CallError::BadResponse("a key is not UTF-8".to_owned()))?;
    let revision = pair.mod_revision.0 as u64;
    Ok(Value { key, data: pair.value.0.clone(), revision })
}

/// Returns the first key after all keys that start with `prefix`; a single zero byte, which etcd
/// takes for no end, if there is none.
fn end_of_prefix(prefix: &str) -> Bytes64 {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return Bytes64(end);
        }
    }
    Bytes64(vec![0])
}
