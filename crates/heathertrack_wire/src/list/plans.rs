use super::{List, check_edit_fields, read_label};
use heathertrack::lists::{CustomerEntry, Plans, TokenDigest};
use heathertrack::name::{Customer as CustomerName, Plan};
use heathertrack_document::{Findings, Node, read};
use serde_json::{Value, json};
use std::ops::RangeInclusive;

/// Range of a customer's worth.
const WORTH: RangeInclusive<f64> = 0.01..=100.0;
/// Worth of a customer whose entry states none.
const DEFAULT_WORTH: f64 = 1.0;

impl List for Plans {
    const NAME: &'static str = "plans";

    fn parse(name: &str, text: &str) -> Result<Self, Findings> {
        read(name, text, read_plans)
    }

    fn to_json(&self) -> Value {
        let entry = |(name, customer): (&CustomerName, &CustomerEntry)| {
            let tokens: Vec<String> = customer.tokens.iter().map(format_token).collect();
            let CustomerEntry { plan, worth, .. } = customer;
            let value = json!({"plan": plan.as_str(), "token_sha256": tokens, "worth": worth});
            (name.to_string(), value)
        };
        let customers: serde_json::Map<String, Value> = self.customers.iter().map(entry).collect();
        json!({ "customers": customers })
    }
}

fn read_plans(node: &Node, findings: &mut Findings) -> Option<Plans> {
    let mut fields = node.fields(findings)?;
    let customers = fields.required("customers", findings);
    check_edit_fields(&mut fields, findings);
    fields.finish(findings);
    let mut plans = Plans::default();
    for (name, node) in customers?.fields(findings)?.entries() {
        let name = read_label(name, &node, findings);
        let customer = read_customer(&node, findings);
        if let (Some(name), Some(customer)) = (name, customer) {
            plans.customers.insert(CustomerName::new(name), customer);
        }
    }
    Some(plans)
}

fn read_customer(node: &Node, findings: &mut Findings) -> Option<CustomerEntry> {
    let mut fields = node.fields(findings)?;
    let plan = fields.required("plan", findings).and_then(|node| {
        let text = node.string(findings)?;
        read_label(text, &node, findings).map(Plan::new)
    });
    let tokens = fields.required("token_sha256", findings);
    let tokens = tokens.and_then(|node| read_tokens(&node, findings));
    let worth = match fields.optional("worth") {
        Some(node) => node.number(WORTH, findings),
        None => Some(DEFAULT_WORTH),
    };
    fields.finish(findings);
    Some(CustomerEntry { plan: plan?, tokens: tokens?, worth: worth? })
}

fn read_tokens(node: &Node, findings: &mut Findings) -> Option<Vec<TokenDigest>> {
    let items = node.items(findings)?;
    let tokens: Vec<_> = items.iter().map(|item| read_token(item, findings)).collect();
    tokens.into_iter().collect()
}

fn read_token(node: &Node, findings: &mut Findings) -> Option<TokenDigest> {
    let text = node.string(findings)?;
    let digest = parse_hex(text);
    if digest.is_none() {
        node.reject("must be a SHA-256 in 64 hexadecimal digits", findings);
    }
    digest.map(TokenDigest)
}

/// Parses 64 hexadecimal digits.
fn parse_hex(text: &str) -> Option<[u8; 32]> {
    if text.len() != 64 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    let mut bytes = [0; 32];
    for (index, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(bytes)
}

fn format_token(token: &TokenDigest) -> String {
    token.0.iter().map(|byte| format!("{byte:02x}")).collect()
}
