use heathertrack::dispatch::Needs;
use heathertrack_document::{Findings, Node};
use std::time::Duration;

/// Maximum length of a path, in bytes.
const MAX_PATH_BYTES: usize = 1_024;
/// Maximum declared run time, in milliseconds.
const MAX_DECLARED_MS: u64 = 3_600_000;
/// Maximum number of cores, MB or accelerators that a task can declare.
const MAX_RESOURCE: u64 = 100_000_000;

/// One task of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Task {
    /// Path on the upstream.
    pub path: String,
    /// JSON text that is sent as the request body. Empty if the task has none.
    pub body: String,
    /// Declared run time. Zero if the task declares none.
    pub declared: Duration,
    /// Resources that the task needs on a worker.
    pub needs: Needs,
}

impl Task {
    pub(super) fn from_node(node: &Node, findings: &mut Findings) -> Option<Self> {
        let mut fields = node.fields(findings)?;
        let path = fields.required("path", findings).and_then(|node| read_path(&node, findings));
        let body = fields.optional("body").map(|node| node.raw().to_owned()).unwrap_or_default();
        let mut optional_integer = |name, max| match fields.optional(name) {
            Some(node) => node.integer(0..=max, findings),
            None => Some(0),
        };
        let declared = optional_integer("declared_ms", MAX_DECLARED_MS);
        let cores = optional_integer("cores", MAX_RESOURCE);
        let memory_mb = optional_integer("memory_mb", MAX_RESOURCE);
        let accelerators = optional_integer("accelerators", MAX_RESOURCE);
        fields.finish(findings);
        let needs = Needs {
            cores: cores? as u32,
            memory_mb: memory_mb? as u32,
            accelerators: accelerators? as u32,
        };
        Some(Task { path: path?, body, declared: Duration::from_millis(declared?), needs })
    }
}

fn read_path(node: &Node, findings: &mut Findings) -> Option<String> {
    let path = node.string(findings)?;
    let visible = |byte: u8| byte.is_ascii_graphic();
    if !path.starts_with('/') || path.len() > MAX_PATH_BYTES || !path.bytes().all(visible) {
        let message =
            format!("must start with / and hold at most {MAX_PATH_BYTES} visible ASCII characters");
        node.reject(message, findings);
        return None;
    }
    if path.contains('#') {
        node.reject("must not hold #", findings);
        return None;
    }
    Some(path.to_owned())
}
