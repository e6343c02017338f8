//! Settings of an entry host, validated as a whole.

mod limits;
mod listen;
mod platform;
mod policy;

pub use limits::Limits;
pub use listen::Listen;
pub use platform::Platform;
pub use policy::{BaselinePolicy, Policy};

use heathertrack::name::{DataCentre, Host, Label};
use heathertrack_document::{Findings, Node, read};

/// Settings of an entry host.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the host.
    pub name: Host,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Addresses of the platform's services.
    pub platform: Platform,
    /// Policy for ordering and placing tasks.
    pub policy: Policy,
    /// Limits of time and memory.
    pub limits: Limits,
}

impl Settings {
    /// Reads settings from JSON. On failure returns every finding, not only the first. `name` is
    /// the name of the document in the findings.
    pub fn read(name: &str, text: &str) -> Result<Self, Findings> {
        read(name, text, Settings::from_node)
    }

    fn from_node(node: &Node, findings: &mut Findings) -> Option<Self> {
        let mut fields = node.fields(findings)?;
        let name = fields.required("name", findings).and_then(|n| label(&n, findings));
        let data_centre = fields.required("data_centre", findings);
        let data_centre = data_centre.and_then(|n| label(&n, findings));
        let listen = fields.required("listen", findings);
        let listen = listen.and_then(|n| Listen::from_node(&n, findings));
        let platform = fields.required("platform", findings);
        let platform = platform.and_then(|n| Platform::from_node(&n, findings));
        let policy = match fields.optional("policy") {
            Some(node) => Policy::from_node(&node, findings),
            None => Some(Policy::default()),
        };
        let limits = match fields.optional("limits") {
            Some(node) => Limits::from_node(&node, findings),
            None => Some(Limits::default()),
        };
        fields.finish(findings);
        Some(Settings {
            name: Host::new(name?),
            data_centre: DataCentre::new(data_centre?),
            listen: listen?,
            platform: platform?,
            policy: policy?,
            limits: limits?,
        })
    }
}

/// Reads the name of a host or data centre.
fn label<'a>(node: &Node<'a>, findings: &mut Findings) -> Option<&'a str> {
    let text = node.string(findings)?;
    if let Err(error) = Label::parse(text) {
        node.reject(error.to_string(), findings);
        return None;
    }
    Some(text)
}
