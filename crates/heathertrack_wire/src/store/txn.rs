use super::{Bytes64, Header, Number, RangeRequest, RangeResponse};
use serde::{Deserialize, Serialize};

/// Request to check conditions and, depending on them, apply one of two lists of operations, all
/// atomically.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TxnRequest {
    /// Conditions that must all hold for `success` to be applied.
    #[serde(default)]
    pub compare: Vec<Compare>,
    /// Operations applied if all conditions hold.
    #[serde(default)]
    pub success: Vec<RequestOp>,
    /// Operations applied otherwise.
    #[serde(default)]
    pub failure: Vec<RequestOp>,
}

/// Response to a [`TxnRequest`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TxnResponse {
    /// Header of the response.
    #[serde(default)]
    pub header: Header,
    /// Whether all conditions held.
    #[serde(default)]
    pub succeeded: bool,
    /// Responses to the applied operations, in order.
    #[serde(default)]
    pub responses: Vec<ResponseOp>,
}

/// A condition on one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Compare {
    /// Comparison operator.
    pub result: CompareResult,
    /// Property of the key to compare.
    pub target: CompareTarget,
    /// The key.
    pub key: Bytes64,
    /// Revision to compare with.
    #[serde(default)]
    pub mod_revision: Number,
}

/// Operator of a comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CompareResult {
    /// The two are equal.
    #[serde(rename = "EQUAL")]
    Equal,
}

/// Property of a key that a comparison reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CompareTarget {
    /// Revision at which the value was last written. Zero if the key does not exist.
    #[serde(rename = "MOD")]
    Mod,
}

/// Operation of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOp {
    /// Reads a key or a range of keys.
    RequestRange(RangeRequest),
    /// Writes a key.
    RequestPut(PutRequest),
    /// Runs a nested transaction.
    RequestTxn(TxnRequest),
}

/// Response to an operation of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ResponseOp {
    /// Response to a read.
    ResponseRange(RangeResponse),
    /// Response to a write.
    ResponsePut(serde_json::Value),
    /// Response to a nested transaction.
    ResponseTxn(TxnResponse),
}

/// Request to write a key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutRequest {
    /// The key.
    pub key: Bytes64,
    /// The value.
    #[serde(default)]
    pub value: Bytes64,
    /// Lease to attach the key to. Zero attaches it to none.
    #[serde(default, skip_serializing_if = "Number::is_default")]
    pub lease: Number,
}
