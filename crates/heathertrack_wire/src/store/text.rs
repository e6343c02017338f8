use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Bytes that are serialized as base64.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Bytes64(pub Vec<u8>);

impl From<&str> for Bytes64 {
    fn from(text: &str) -> Self {
        Bytes64(text.as_bytes().to_vec())
    }
}

impl Serialize for Bytes64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Bytes64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map(Bytes64).map_err(D::Error::custom)
    }
}

/// A 64-bit integer that is serialized as a string. A JSON number is accepted too.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Number(pub i64);

impl Number {
    /// Returns whether the number is 0, the default value, with which its field is omitted.
    pub fn is_default(&self) -> bool {
        self.0 == 0
    }
}

impl Serialize for Number {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Number {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Form {
            Text(String),
            Bare(i64),
        }
        match Form::deserialize(deserializer)? {
            Form::Text(text) => text.parse().map(Number).map_err(D::Error::custom),
            Form::Bare(number) => Ok(Number(number)),
        }
    }
}
