use heathertrack_testkit::client::Client;
use hyper::Method;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Message counts over all entry hosts.
#[derive(Clone, Debug, Default)]
pub struct Messages {
    /// Messages sent, by kind.
    pub sent: BTreeMap<String, f64>,
    /// Sum over the kinds of the metric `heathertrack_wasted_messages_total`.
    pub wasted: f64,
}

impl Messages {
    /// Reads the counters from the operators' address of one host. The hosts run in one process and
    /// share the counters, so these cover all of them.
    pub async fn read(operators: &SocketAddr) -> Self {
        // Operators' requests need no token.
        let client = Client::new("");
        let answer = client.call(Method::GET, operators, "/metrics", None, "").await;
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let mut messages = Messages::default();
        for line in text.lines() {
            let Some((name, value)) = line.rsplit_once(' ') else { continue };
            let value: f64 = value.parse().unwrap_or_default();
            if name.starts_with("heathertrack_messages_total") {
                // The metric has one label, whose value is in quotation marks.
                let kind = name.split('"').nth(1).unwrap_or_default();
                messages.sent.insert(kind.to_owned(), value);
            } else if name.starts_with("heathertrack_wasted_messages_total") {
                messages.wasted += value;
            }
        }
        messages
    }

    /// Returns the messages sent since an earlier reading.
    pub fn since(&self, earlier: &Messages) -> Messages {
        let before = |kind: &String| earlier.sent.get(kind).copied().unwrap_or_default();
        let sent = self.sent.iter().map(|(kind, count)| (kind.clone(), count - before(kind)));
        Messages { sent: sent.collect(), wasted: self.wasted - earlier.wasted }
    }

    pub fn total(&self) -> f64 {
        self.sent.values().sum()
    }
}
