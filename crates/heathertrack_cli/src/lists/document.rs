use heathertrack::lists::{Allowances, Plans};
use heathertrack_document::Findings;
use heathertrack_wire::list::List;
use serde_json::Value;

/// One of the two lists, read from a file.
#[derive(Debug)]
pub struct Document {
    /// The plans, if the file holds that list.
    pub plans: Option<Plans>,
    /// The allowances, if the file holds that list.
    pub allowances: Option<Allowances>,
    /// The whole file as JSON.
    pub value: Value,
}

impl Document {
    /// Parses a list and collects all findings. A document with the field `customers` is read as
    /// plans, any other as allowances.
    pub fn read(name: &str, text: &str) -> Result<Self, Findings> {
        // The parser of the list reports the findings of text that is not JSON.
        let value: Value = serde_json::from_str(text).unwrap_or_default();
        let is_plans = value.get("customers").is_some();
        let (plans, allowances) = if is_plans {
            (Some(Plans::parse(name, text)?), None)
        } else {
            (None, Some(Allowances::parse(name, text)?))
        };
        Ok(Document { plans, allowances, value })
    }

    /// Returns the name of the list.
    pub fn list_name(&self) -> &'static str {
        if self.plans.is_some() { Plans::NAME } else { Allowances::NAME }
    }

    /// Returns the revision of the list that was edited, or `None` if the file does not hold one.
    pub fn base_revision(&self) -> Option<u64> {
        self.value.get("revision")?.as_u64()
    }
}
