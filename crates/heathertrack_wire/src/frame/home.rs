use heathertrack::name::{DataCentre, Host};
use heathertrack::ticket;
use serde::{Deserialize, Serialize};

/// A home: the process that may start the jobs of certain keys and keeps their records.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Home {
    /// Data centre of the process.
    pub data_centre: String,
    /// Host of the process.
    pub host: String,
    /// Incarnation of the process.
    pub incarnation: u64,
}

impl From<&ticket::Home> for Home {
    fn from(home: &ticket::Home) -> Self {
        Home {
            data_centre: home.data_centre.to_string(),
            host: home.host.to_string(),
            incarnation: home.incarnation.0,
        }
    }
}

impl From<&Home> for ticket::Home {
    fn from(home: &Home) -> Self {
        ticket::Home {
            data_centre: DataCentre::new(&home.data_centre),
            host: Host::new(&home.host),
            incarnation: ticket::Incarnation(home.incarnation),
        }
    }
}
