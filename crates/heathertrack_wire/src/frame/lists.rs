use serde::{Deserialize, Serialize};

/// A list in force, as text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListText {
    /// When the store accepted it.
    pub revision: u64,
    /// Its JSON.
    pub text: String,
}

/// Both lists in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lists {
    /// Customers' plans.
    pub plans: Option<ListText>,
    /// What each plan may use.
    pub allowances: Option<ListText>,
}
