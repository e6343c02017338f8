use serde::{Deserialize, Serialize};

/// Answer of an upstream to one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status from the upstream, 200 to 299.
    pub status: u16,
    /// Response body from the upstream.
    pub body: Vec<u8>,
}

impl Answer {
    /// Appends the answer as JSON to `out`. A body that is valid JSON is embedded unchanged, any
    /// other as a string.
    pub fn append_json(&self, out: &mut Vec<u8>) {
        out.extend_from_slice(format!("{{\"status\":{},\"body\":", self.status).as_bytes());
        if serde_json::from_slice::<&serde_json::value::RawValue>(&self.body).is_ok() {
            out.extend_from_slice(&self.body);
        } else {
            let text = String::from_utf8_lossy(&self.body);
            let quoted = serde_json::to_vec(&text).expect("a string is always JSON");
            out.extend_from_slice(&quoted);
        }
        out.push(b'}');
    }
}
