//! The JSON form of the etcd v3 API, as published: keys and values in base64, 64-bit numbers as
//! strings, fields at their default left out.

mod range;
mod text;
mod txn;

pub use range::{Header, KeyValue, RangeRequest, RangeResponse};
pub use text::{Bytes64, Number};
pub use txn::{
    Compare, CompareResult, CompareTarget, PutRequest, RequestOp, ResponseOp, TxnRequest,
    TxnResponse,
};
