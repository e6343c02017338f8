use heathertrack_document::{Findings, Node};
use std::net::SocketAddr;

/// Where an entry host listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listen {
    /// For callers, by HTTP.
    pub callers: SocketAddr,
    /// For other entry hosts.
    pub peers: SocketAddr,
    /// For operators, by HTTP.
    pub operators: SocketAddr,
}

impl Listen {
    pub(super) fn from_node(node: &Node, findings: &mut Findings) -> Option<Self> {
        let mut fields = node.fields(findings)?;
        let mut used: Vec<SocketAddr> = Vec::new();
        let mut address = |name| {
            let node = fields.required(name, findings)?;
            let address: SocketAddr = node.parse(findings)?;
            if address.port() != 0 && used.contains(&address) {
                node.reject("is used twice", findings);
            }
            used.push(address);
            Some(address)
        };
        let callers = address("callers");
        let peers = address("peers");
        let operators = address("operators");
        fields.finish(findings);
        Some(Listen { callers: callers?, peers: peers?, operators: operators? })
    }
}
