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

/// Minimum length of the shared secret, characters.
pub const MIN_SECRET_CHARS: usize = 32;

/// Settings that a node needs before it can read the log.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the node, unique in the environment.
    #[schemars(regex(pattern = pattern::NAME))]
    pub name: NodeName,
    /// Place of the instance that the node runs on.
    #[schemars(regex(pattern = pattern::NAME))]
    pub place: Place,
    /// Region of the place.
    #[schemars(regex(pattern = pattern::NAME))]
    pub region: Region,
    /// Name of the environment, the same as `environment.name` in its document.
    #[schemars(regex(pattern = pattern::NAME))]
    pub environment: String,
    /// Address to bind for callers.
    #[schemars(regex(pattern = pattern::ADDRESS))]
    pub listen: SocketAddr,
    /// Address advertised to callers; `listen` if absent.
    #[schemars(regex(pattern = pattern::ADDRESS))]
    pub advertise: Option<SocketAddr>,
    /// Address to bind for calls between nodes.
    #[schemars(regex(pattern = pattern::ADDRESS))]
    pub peer_listen: SocketAddr,
    /// Address advertised to other nodes; `peer_listen` if absent.
    #[schemars(regex(pattern = pattern::ADDRESS))]
    pub peer_advertise: Option<SocketAddr>,
    /// Peer addresses of nodes to join through; empty on the first node.
    #[serde(default)]
    #[schemars(inner(regex(pattern = pattern::ADDRESS)))]
    pub seeds: Vec<SocketAddr>,
    /// Address of the log service.
    #[schemars(regex(pattern = pattern::ADDRESS))]
    pub log_address: SocketAddr,
    /// Address of the cloud API.
    #[schemars(regex(pattern = pattern::ADDRESS))]
    pub cloud_address: SocketAddr,
    /// File with the secret that the nodes of the environment share.
    pub secret_file: Option<PathBuf>,
    /// The shared secret in plain text; prefer `secret_file`.
    #[schemars(with = "Option<String>", length(min = MIN_SECRET_CHARS))]
    pub secret: Option<Secret>,
    /// Time that requests in flight have to finish after a stop was requested, milliseconds.
    #[serde(default = "default_drain")]
    #[schemars(range(min = 1, max = 3_600_000))]
    pub drain_ms: Millis,
    /// Interval of the membership probes, milliseconds.
    #[serde(default = "default_probe_period")]
    #[schemars(range(min = 20, max = 10_000))]
    pub probe_period_ms: Millis,
    /// Limits on memory and sockets.
    #[serde(default)]
    pub limits: Limits,
}

/// Resource limits of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum number of open connections from callers.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub connections: usize,
    /// Maximum size of a request body, bytes.
    #[schemars(range(min = 1024, max = 1_073_741_824))]
    pub body_bytes: usize,
    /// Maximum number of requests in progress or retained, including replicas for other nodes.
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

/// Settings of a single node on the loopback address, for demonstrations and tests.
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
            drain_ms: default_drain(),
            probe_period_ms: default_probe_period(),
            limits: Limits::default(),
        }
    }
}

impl Settings {
    /// Returns the address advertised to callers.
    #[must_use]
    pub fn caller_address(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.listen)
    }

    /// Returns the address advertised to other nodes.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_advertise.unwrap_or(self.peer_listen)
    }
}

impl Settings {
    /// Returns the shared secret; `secret` takes precedence over `secret_file`.
    ///
    /// # Errors
    /// When neither is set, the file can't be read, or the secret is too short.
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

/// Error of loading the shared secret.
#[derive(Debug, Display, Error)]
pub enum SecretError {
    /// Neither `secret_file` nor `secret` is set.
    #[display("neither `secret_file` nor `secret` is set")]
    Missing,
    /// The secret file can't be read.
    #[display("secret_file {} can't be read: {source}", path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The secret is shorter than [`MIN_SECRET_CHARS`].
    #[display("the shared secret has {chars} characters; at least {MIN_SECRET_CHARS} are needed")]
    Short {
        /// Number of characters, not counting surrounding white space.
        chars: usize,
    },
}

fn default_drain() -> Millis {
    Millis(20_000)
}

// The period that the membership protocol is designed for; see section 6 of the design page.
fn default_probe_period() -> Millis {
    Millis(200)
}

/// The secret shared by the nodes of an environment; its `Debug` output hides the text.
#[derive(Clone, PartialEq, Eq, Deserialize)]
#[serde(from = "String")]
pub struct Secret(String);

impl From<String> for Secret {
    fn from(text: String) -> Self {
        Self::new(&text)
    }
}

impl Secret {
    /// Creates a secret from `text`, without surrounding white space.
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self(text.trim().into())
    }

    pub(crate) fn chars(&self) -> usize {
        self.0.chars().count()
    }

    /// Returns the plain text, which is sent in the `authorization` header.
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
