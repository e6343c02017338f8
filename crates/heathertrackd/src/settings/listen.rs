use heathertrack_document::{Findings, Node};
use std::net::SocketAddr;

/// Addresses that an entry host listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listen {
    /// HTTP address for callers.
    pub callers: SocketAddr,
    /// RPC address for other entry hosts.
    pub peers: SocketAddr,
    /// HTTP address for operators.
    pub operators: SocketAddr,
}

impl Listen {
    pub(super) fn from_node(node: &Node, findings: &mut Findings) -> Option<Self> {
        let mut fields = node.fields(findings)?;
        let mut used: Vec<SocketAddr> = Vec::new();
        let mut address = |name| {
            let node = fields.required(name, findings)?;
            let address: SocketAddr = node.parse(findings)?;
            // Port 0 stands for any free port, so it may occur several times.
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
