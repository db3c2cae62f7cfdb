//! Settings of a node.

use std::fmt;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;

use cumin_types::{Millis, NodeName, Place, Region};
use derive_more::{Display, Error};
use schemars::JsonSchema;
use serde::Deserialize;

use crate::pattern;

/// Least length of the shared secret, characters.
pub const MIN_SECRET_CHARS: usize = 32;

/// What a node has to know before it reads the log.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the node, unique in the environment.
    #[schemars(regex(pattern = pattern::NAME))]
    pub name: NodeName,
    /// Place of its instance.
    #[schemars(regex(pattern = pattern::NAME))]
    pub place: Place,
    /// Region of its place.
    #[schemars(regex(pattern = pattern::NAME))]
    pub region: Region,
    /// Name of the environment, equal to `environment.name` in its document.
    #[schemars(regex(pattern = pattern::NAME))]
    pub environment: String,
    /// Address to bind for callers.
    #[schemars(regex(pattern = pattern::ADDRESS))]
    pub listen: SocketAddr,
    /// Address told to callers; `listen` when absent.
    #[schemars(regex(pattern = pattern::ADDRESS))]
    pub advertise: Option<SocketAddr>,
    /// Address to bind for calls between nodes.
    #[schemars(regex(pattern = pattern::ADDRESS))]
    pub peer_listen: SocketAddr,
    /// Address told to other nodes; `peer_listen` when absent.
    #[schemars(regex(pattern = pattern::ADDRESS))]
    pub peer_advertise: Option<SocketAddr>,
    /// Addresses for calls between nodes of some other nodes; empty at the first node.
    #[serde(default)]
    #[schemars(inner(regex(pattern = pattern::ADDRESS)))]
    pub seeds: Vec<SocketAddr>,
    /// Address of the log service.
    #[schemars(regex(pattern = pattern::ADDRESS))]
    pub log_address: SocketAddr,
    /// Address of the cloud API.
    #[schemars(regex(pattern = pattern::ADDRESS))]
    pub cloud_address: SocketAddr,
    /// File that holds the secret shared by the nodes of the environment.
    pub secret_file: Option<PathBuf>,
    /// The shared secret itself; `secret_file` is preferred.
    #[schemars(with = "Option<String>", length(min = MIN_SECRET_CHARS))]
    pub secret: Option<Secret>,
    /// Time for requests in flight after a stop was ordered, milliseconds.
    #[serde(default = "drain_ms")]
    #[schemars(range(min = 1, max = 3_600_000))]
    pub drain_ms: Millis,
    /// Period of the membership probe, milliseconds.
    #[serde(default = "probe_period_ms")]
    #[schemars(range(min = 20, max = 10_000))]
    pub probe_period_ms: Millis,
    /// Bounds on memory and sockets.
    #[serde(default)]
    pub limits: Limits,
}

/// Bounds of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Connections of callers open at once.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub connections: usize,
    /// Longest body of a request, bytes.
    #[schemars(range(min = 1024, max = 1_073_741_824))]
    pub body_bytes: usize,
    /// Requests in progress or retained at once, own and held for other nodes.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub requests_held: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4096,
            body_bytes: 4 << 20,
            requests_held: 16_384,
        }
    }
}

/// Settings of a lone node on the loopback address, for demonstrations and tests.
impl Default for Settings {
    fn default() -> Self {
        let local = |port| SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port);
        Self {
            name: "node-1".into(),
            place: "local".into(),
            region: "local".into(),
            environment: "demo".into(),
            listen: local(8080),
            advertise: None,
            peer_listen: local(8081),
            peer_advertise: None,
            seeds: Vec::new(),
            log_address: local(7001),
            cloud_address: local(7002),
            secret_file: None,
            secret: None,
            drain_ms: drain_ms(),
            probe_period_ms: probe_period_ms(),
            limits: Limits::default(),
        }
    }
}

impl Settings {
    /// Returns the address told to callers.
    #[must_use]
    pub fn caller_address(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.listen)
    }

    /// Returns the address told to other nodes.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_advertise.unwrap_or(self.peer_listen)
    }
}

impl Settings {
    /// Returns the shared secret, from its file if one is set.
    ///
    /// # Errors
    /// When there is neither a secret nor a file, the file can't be read, or the secret is short.
    pub fn load_secret(&self) -> Result<Secret, SecretError> {
        let secret = match (&self.secret, &self.secret_file) {
            (Some(secret), _) => secret.clone(),
            (None, None) => return Err(SecretError::Missing),
            (None, Some(path)) => {
                let text =
                    std::fs::read_to_string(path).map_err(|source| SecretError::Unreadable {
                        path: path.clone(),
                        source,
                    })?;
                Secret::new(&text)
            }
        };
        let chars = secret.chars();
        if chars < MIN_SECRET_CHARS {
            return Err(SecretError::Short { chars });
        }
        Ok(secret)
    }
}

/// The shared secret can't be used.
#[derive(Debug, Display, Error)]
pub enum SecretError {
    /// Neither `secret_file` nor `secret` is set.
    #[display("neither `secret_file` nor `secret` is set")]
    Missing,
    /// The file can't be read.
    #[display("secret_file {} can't be read: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the system reported.
        source: io::Error,
    },
    /// The secret is too short.
    #[display("the shared secret has {chars} characters; at least {MIN_SECRET_CHARS} are needed")]
    Short {
        /// Number of characters without white space around them.
        chars: usize,
    },
}

fn drain_ms() -> Millis {
    Millis(20_000)
}

// Target of the membership protocol; see section 6 of the design page.
fn probe_period_ms() -> Millis {
    Millis(200)
}

/// The secret shared by the nodes of an environment. Its debug form hides the text.
#[derive(Clone, PartialEq, Eq, Deserialize)]
#[serde(from = "String")]
pub struct Secret(String);

impl From<String> for Secret {
    fn from(text: String) -> Self {
        Self::new(&text)
    }
}

impl Secret {
    /// Takes the text of a secret, without white space around it.
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self(text.trim().into())
    }

    pub(crate) fn chars(&self) -> usize {
        self.0.chars().count()
    }

    /// Returns the text, to be sent in `authorization`.
    #[must_use]
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}
