use heathertrack_document::{Findings, Node};
use hyper::Uri;
use std::net::SocketAddr;

/// Addresses of the platform's services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Platform {
    /// Addresses of the key-value store; at least one.
    pub store: Vec<SocketAddr>,
    /// Prefix of all keys in the store.
    pub prefix: String,
    /// URI at which the platform serves the list of entry hosts.
    pub host_list: Uri,
}

impl Platform {
    pub(super) fn from_node(node: &Node, findings: &mut Findings) -> Option<Self> {
        let mut fields = node.fields(findings)?;
        let store = fields.required("store", findings).and_then(|n| addresses(&n, findings));
        let prefix = match fields.optional("prefix") {
            Some(node) => prefix(&node, findings),
            None => Some("/heathertrack".to_owned()),
        };
        let host_list = fields.required("host_list", findings).and_then(|n| uri(&n, findings));
        fields.finish(findings);
        Some(Platform { store: store?, prefix: prefix?, host_list: host_list? })
    }
}

fn addresses(node: &Node, findings: &mut Findings) -> Option<Vec<SocketAddr>> {
    let items = node.items(findings)?;
    if items.is_empty() {
        node.reject("must hold at least one address", findings);
    }
    let addresses: Vec<_> = items.iter().map(|item| item.parse(findings)).collect();
    addresses.into_iter().collect()
}

fn prefix(node: &Node, findings: &mut Findings) -> Option<String> {
    let text = node.string(findings)?;
    if !text.starts_with('/') || text.ends_with('/') || text.len() > 256 {
        node.reject(
            "must start with /, must not end with /, and must not exceed 256 bytes",
            findings,
        );
        return None;
    }
    Some(text.to_owned())
}

fn uri(node: &Node, findings: &mut Findings) -> Option<Uri> {
    let uri: Uri = node.parse(findings)?;
    if uri.scheme_str() != Some("http") || uri.authority().is_none() {
        node.reject("must be an http:// URI with a host", findings);
        return None;
    }
    Some(uri)
}
