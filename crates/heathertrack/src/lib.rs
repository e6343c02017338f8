//! Coordination logic of a dispatcher for sub-second tasks.
//!
//! The modules are deterministic: they take events and the current [`clock::Time`], and return the
//! actions to perform. Nothing here opens a socket, reads a clock or starts a thread, so the same
//! code runs in the daemon and under a fuzzer.
//!
//! ```
//! use heathertrack::clock::Time;
//! use heathertrack::record::{Admission, Digest, Key, Records};
//!
//! // Records of jobs with handles and answers of type `&str`.
//! let mut records: Records<&str, &str> = Records::new(Default::default());
//! let key = Key::new("kadriorg-crafts", "ticket/1");
//! let now = Time::ZERO;
//! let accept_until = Time::from_millis(60_000);
//! let digest = Digest::of(b"job");
//! assert_eq!(records.submit(&key, digest, accept_until, now, "first"), Admission::Started);
//!
//! // A resubmission starts nothing: it gets the handle of the running job, or its answer.
//! let again = records.submit(&key, digest, accept_until, now, "second");
//! assert_eq!(again, Admission::Running("first"));
//! let answer = "answer";
//! records.finish(&key, answer, answer.len());
//! let again = records.submit(&key, digest, accept_until, now, "third");
//! assert_eq!(again, Admission::Finished("answer"));
//! ```

pub mod claim;
pub mod clock;
pub mod dispatch;
pub mod home;
pub mod intake;
pub mod lists;
pub mod membership;
pub mod name;
pub mod pool;
pub mod record;
pub mod routes;
pub mod run;
pub mod share;
pub mod ticket;
