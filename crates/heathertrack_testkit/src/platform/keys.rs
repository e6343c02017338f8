use heathertrack_wire::store::{
    Bytes64, Header, KeyValue, Number, PutRequest, RangeRequest, RangeResponse, RequestOp,
    ResponseOp, TxnRequest, TxnResponse,
};
use std::collections::BTreeMap;

/// Maximum number of former values kept for each key.
const MAX_FORMER_VALUES: usize = 100;

/// Key-value store with revisions and a limited history.
#[derive(Clone, Debug, Default)]
pub struct Keys {
    pairs: BTreeMap<Vec<u8>, KeyValue>,
    /// Former values of each key, oldest first.
    former: BTreeMap<Vec<u8>, Vec<KeyValue>>,
    /// Revision of the last write.
    revision: i64,
}

impl Keys {
    /// Reads a key or a range of keys.
    pub fn range(&self, request: &RangeRequest) -> RangeResponse {
        let is_newer = |pair: &&KeyValue| pair.mod_revision >= request.min_mod_revision;
        let pairs = self.pairs.iter().filter(|(key, _)| is_in_range(request, key));
        let pairs = pairs.filter_map(|(key, pair)| self.as_of(request.revision, key, pair));
        let kvs = pairs.filter(is_newer).cloned().collect();
        RangeResponse { header: self.header(), kvs }
    }

    /// Returns the value of a key as of a revision; revision 0 means the current one.
    fn as_of<'a>(
        &'a self,
        revision: Number,
        key: &[u8],
        current: &'a KeyValue,
    ) -> Option<&'a KeyValue> {
        if revision.is_default() || current.mod_revision <= revision {
            return Some(current);
        }
        let former = self.former.get(key)?;
        former.iter().rev().find(|pair| pair.mod_revision <= revision)
    }

    /// Applies a transaction; all its writes share one revision.
    pub fn txn(&mut self, request: &TxnRequest) -> TxnResponse {
        self.revision += 1;
        self.apply_txn(request)
    }

    /// Deletes a key or a range of keys.
    pub fn delete(&mut self, request: &RangeRequest) {
        self.revision += 1;
        self.pairs.retain(|key, _| !is_in_range(request, key));
    }

    fn apply_txn(&mut self, request: &TxnRequest) -> TxnResponse {
        let succeeded = request.compare.iter().all(|compare| {
            let pair = self.pairs.get(&compare.key.0);
            pair.map_or(Number(0), |pair| pair.mod_revision) == compare.mod_revision
        });
        let operations = if succeeded { &request.success } else { &request.failure };
        let responses =
            operations.iter().map(|operation| self.apply_operation(operation)).collect();
        TxnResponse { header: self.header(), succeeded, responses }
    }

    fn apply_operation(&mut self, operation: &RequestOp) -> ResponseOp {
        match operation {
            RequestOp::RequestRange(range) => ResponseOp::ResponseRange(self.range(range)),
            RequestOp::RequestTxn(txn) => ResponseOp::ResponseTxn(self.apply_txn(txn)),
            RequestOp::RequestPut(put) => {
                self.put(put);
                ResponseOp::ResponsePut(serde_json::json!({}))
            }
        }
    }

    fn put(&mut self, put: &PutRequest) {
        let revision = Number(self.revision);
        let new_pair = || KeyValue { create_revision: revision, ..KeyValue::default() };
        if let Some(pair) = self.pairs.get(&put.key.0) {
            let former = self.former.entry(put.key.0.clone()).or_default();
            former.push(pair.clone());
            let surplus = former.len().saturating_sub(MAX_FORMER_VALUES);
            former.drain(..surplus);
        }
        let pair = self.pairs.entry(put.key.0.clone()).or_insert_with(new_pair);
        pair.key = put.key.clone();
        pair.value = put.value.clone();
        pair.mod_revision = revision;
    }

    fn header(&self) -> Header {
        Header { revision: Number(self.revision) }
    }
}

fn is_in_range(request: &RangeRequest, key: &[u8]) -> bool {
    match &request.range_end {
        None => key == request.key.0,
        Some(Bytes64(end)) => key >= &request.key.0[..] && key < &end[..],
    }
}
