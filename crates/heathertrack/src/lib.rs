//! Coordination logic of a dispatcher for sub-second tasks.
//!
//! Each module is a deterministic state machine: it takes events and the current [`clock::Time`],
//! and returns the actions to perform. Nothing here opens a socket, reads a clock or starts a
//! thread, so the same code runs in the daemon and under a fuzzer.
//!
//! ```
//! use heathertrack::clock::Time;
//! use heathertrack::record::{Admission, Digest, Key, Records};
//!
//! let mut records: Records<&str, &str> = Records::new(Default::default());
//! let key = Key::new("kadriorg-crafts", "ticket/1");
//! let now = Time::ZERO;
//! let until = Time::from_millis(60_000);
//! let digest = Digest::of(b"job");
//! assert_eq!(records.submit(&key, digest, until, now, "running"), Admission::Started);
//! assert_eq!(records.submit(&key, digest, until, now, "twin"), Admission::Running("running"));
//! records.finish(&key, "answer", 6);
//! assert_eq!(records.submit(&key, digest, until, now, "late"), Admission::Finished("answer"));
//! ```

pub mod claim;
pub mod clock;
pub mod dispatch;
pub mod home;
pub mod lists;
pub mod membership;
pub mod name;
pub mod pool;
pub mod record;
pub mod routes;
pub mod run;
pub mod share;
pub mod ticket;
