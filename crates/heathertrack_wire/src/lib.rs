//! Wire formats of the messages between entry hosts, with callers and with the platform.
//!
//! The types only define the encoding and contain no decisions. They convert to and from the types
//! of [`heathertrack`] with `From` and `TryFrom`.
//!
//! ```
//! use heathertrack_wire::caller::Job;
//!
//! let body = r#"{"class": "stock", "deadline_ms": 2000, "tasks": [{"path": "/stock"}]}"#;
//! let job = Job::parse(body).unwrap();
//! assert_eq!(job.tasks.len(), 1);
//! ```

pub mod caller;
pub mod frame;
pub mod host_list;
pub mod list;
pub mod seats;
pub mod service;
pub mod status;
pub mod store;
