use super::{Bytes64, Header, Number, RangeRequest, RangeResponse};
use serde::{Deserialize, Serialize};

/// Compares, then does one of two lists of operations, all at once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TxnRequest {
    /// What must hold for `success`.
    #[serde(default)]
    pub compare: Vec<Compare>,
    /// Done if all compares hold.
    #[serde(default)]
    pub success: Vec<RequestOp>,
    /// Done if not.
    #[serde(default)]
    pub failure: Vec<RequestOp>,
}

/// What was done.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TxnResponse {
    /// State of the store.
    #[serde(default)]
    pub header: Header,
    /// Whether all compares held.
    #[serde(default)]
    pub succeeded: bool,
    /// An answer for each operation.
    #[serde(default)]
    pub responses: Vec<ResponseOp>,
}

/// A condition on one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Compare {
    /// How to compare.
    pub result: CompareResult,
    /// What to compare.
    pub target: CompareTarget,
    /// The key.
    pub key: Bytes64,
    /// The revision to compare with.
    #[serde(default)]
    pub mod_revision: Number,
}

/// How to compare.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CompareResult {
    /// The two are equal.
    #[serde(rename = "EQUAL")]
    Equal,
}

/// What to compare.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CompareTarget {
    /// The revision at which the value was written; zero if there is no such key.
    #[serde(rename = "MOD")]
    Mod,
}

/// An operation of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOp {
    /// Reads.
    RequestRange(RangeRequest),
    /// Writes.
    RequestPut(PutRequest),
    /// A transaction within.
    RequestTxn(TxnRequest),
}

/// An answer to an operation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ResponseOp {
    /// To a read.
    ResponseRange(RangeResponse),
    /// To a write.
    ResponsePut(serde_json::Value),
    /// To a transaction within.
    ResponseTxn(TxnResponse),
}

/// Writes a key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutRequest {
    /// The key.
    pub key: Bytes64,
    /// The value.
    #[serde(default)]
    pub value: Bytes64,
    /// The lease to hang the key on; zero for none.
    #[serde(default, skip_serializing_if = "Number::is_default")]
    pub lease: Number,
}
