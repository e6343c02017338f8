use heathertrack::lists::{Allowances, Plans};
use heathertrack_document::Findings;
use heathertrack_wire::list::List;
use serde_json::Value;

/// A list in a file: one of the two.
#[derive(Debug)]
pub struct Document {
    /// If it is the list of customers' plans.
    pub plans: Option<Plans>,
    /// If it is the list of allowances.
    pub allowances: Option<Allowances>,
    /// As it stands.
    pub value: Value,
}

impl Document {
    /// Reads a list, collecting every finding. Which one it is shows by its entries.
    pub fn read(name: &str, text: &str) -> Result<Self, Findings> {
        let value: Value = serde_json::from_str(text).unwrap_or_default();
        let is_plans = value.get("customers").is_some();
        let (plans, allowances) = if is_plans {
            (Some(Plans::read(name, text)?), None)
        } else {
            (None, Some(Allowances::read(name, text)?))
        };
        Ok(Document { plans, allowances, value })
    }

    /// Name of the list.
    pub fn list(&self) -> &'static str {
        if self.plans.is_some() { Plans::NAME } else { Allowances::NAME }
    }

    /// Revision that the edit was made from.
    pub fn revision(&self) -> Option<u64> {
        self.value.get("revision")?.as_u64()
    }
}
