//! Messages between entry hosts, with callers and with the platform.
//!
//! Types here only describe what travels; they turn into the types of [`heathertrack`] by `From`
//! and `TryFrom`, and decide nothing.
//!
//! ```
//! use heathertrack_wire::caller::Job;
//!
//! let body = r#"{"class": "stock", "deadline_ms": 2000, "tasks": [{"path": "/stock"}]}"#;
//! let job = Job::read(body).unwrap();
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
