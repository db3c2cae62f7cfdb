//! Clients for calls to other nodes, one per address, created on first use.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use jsonrpsee::core::ClientError;
use jsonrpsee_http_client::{HeaderMap, HeaderValue, HttpClient, HttpClientBuilder};

/// Clients by address.
pub(crate) struct ClientPool {
    secret: String,
    timeout: Duration,
    clients: RefCell<HashMap<SocketAddr, HttpClient>>,
}

impl ClientPool {
    pub(crate) fn new(secret: &str, timeout: Duration) -> Self {
        Self {
            secret: secret.into(),
            timeout,
            clients: RefCell::default(),
        }
    }

    /// Returns the client for `address`.
    pub(crate) fn get(&self, address: SocketAddr) -> Result<HttpClient, ClientError> {
        if let Some(client) = self.clients.borrow().get(&address) {
            return Ok(client.clone());
        }
        let mut headers = HeaderMap::new();
        let value = HeaderValue::from_str(&format!("Bearer {}", self.secret))
            .map_err(|error| ClientError::Custom(error.to_string()))?;
        headers.insert("authorization", value);
        let client = HttpClientBuilder::default()
            .set_headers(headers)
            .set_tcp_no_delay(true)
            .request_timeout(self.timeout)
            .max_request_size(64 << 20)
            .max_response_size(64 << 20)
            .build(format!("http://{address}/"))?;
        self.clients.borrow_mut().insert(address, client.clone());
        Ok(client)
    }
}
