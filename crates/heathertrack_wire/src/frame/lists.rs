use serde::{Deserialize, Serialize};

/// A list in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListText {
    /// Revision at which the store accepted the list.
    pub revision: u64,
    /// The list as JSON.
    pub text: String,
}

/// The lists in force at a host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lists {
    /// Plans of the customers; `None` if no such list is in force.
    pub plans: Option<ListText>,
    /// Allowances of the plans; `None` if no such list is in force.
    pub allowances: Option<ListText>,
}
