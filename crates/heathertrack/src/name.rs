//! Names of hosts, data centres, customers, plans, classes and upstreams.

mod label;

pub use label::{Label, LabelError};

use std::fmt;
use std::sync::Arc;

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates a name from `text` without checks.
            pub fn new(text: impl AsRef<str>) -> Self {
                $name(Arc::from(text.as_ref()))
            }

            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name!(
    /// Name of an entry host, unique within a deployment.
    Host
);
name!(
    /// Name of a data centre.
    DataCentre
);
name!(
    /// Name of a customer.
    Customer
);
name!(
    /// Name of a plan.
    Plan
);
name!(
    /// Name of a class of jobs.
    Class
);
name!(
    /// Name of an upstream.
    Upstream
);
