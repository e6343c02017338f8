//! Messages of the etcd v3 JSON API, in the published encoding: keys and values are base64, 64-bit
//! integers are strings, and fields with their default value are omitted.

mod range;
mod text;
mod txn;

pub use range::{Header, KeyValue, RangeRequest, RangeResponse};
pub use text::{Bytes64, Number};
pub use txn::{
    Compare, CompareResult, CompareTarget, PutRequest, RequestOp, ResponseOp, TxnRequest,
    TxnResponse,
};
