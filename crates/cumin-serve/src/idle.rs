//! Connections to endpoints that are kept for another request.

use std::io;
use std::time::Duration;

use cumin_entry::fleet::Endpoint;
use cumin_entry::platform::AnswerHead;
use cumin_http::connection::{Answer, Connection};
use cumin_types::{EndpointName, Millis};

use crate::request::ActiveRequest;

/// Timeout of a connection to an endpoint: several times the latency between places, and less than
/// the second after which a lost SYN is retransmitted.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// An idle connection is reused within this fraction (1/n) of the time that its endpoint keeps it
/// open; later the endpoint could close it while a request is in flight.
const KEEP_ALIVE_DIVISOR: u64 = 2;

/// Time within which an idle connection is reused if the endpoint states no keep-alive time.
const DEFAULT_KEEP_ALIVE: Millis = Millis(2000);

impl ActiveRequest<'_> {
    /// Returns an idle connection to the endpoint, or a new one.
    ///
    /// A late answer cannot be told from that to a request without an identifier, so such a request
    /// gets a connection that no other request has used.
    pub(crate) async fn acquire(&self, endpoint: &Endpoint) -> io::Result<Connection> {
        let now = self.node.now();
        while self.request.id.is_some() {
            let connection = {
                let mut idle_connections = self.node.idle_connections.borrow_mut();
                idle_connections.get_mut(&endpoint.name).and_then(Vec::pop)
            };
            let Some(connection) = connection else { break };
            let unsolicited = connection.unsolicited();
            if let Ok(bytes @ 1..) = unsolicited {
                log_trailing(connection.answered.as_deref(), &endpoint.name, bytes);
            }
            if is_reusable(&connection, now) && matches!(unsolicited, Ok(0)) {
                return Ok(connection);
            }
        }
        self.node.metrics.connections.inc();
        Connection::connect(endpoint.address, CONNECT_TIMEOUT).await
    }

    /// Keeps the connection of a finished answer for another request.
    pub(crate) fn release(
        &self,
        endpoint: &EndpointName,
        answer: Answer,
        answer_head: &AnswerHead,
    ) {
        let trailing = answer.trailing_bytes();
        if trailing > 0 {
            log_trailing(self.request.id.as_deref(), endpoint, trailing);
        }
        let now = self.node.now();
        if let Some(mut connection) = answer.into_connection()
            && self.node.fleet.borrow().accepts(endpoint, now)
        {
            connection.idle = (now, answer_head.keep_alive);
            connection.answered.clone_from(&self.request.id);
            let mut idle_connections = self.node.idle_connections.borrow_mut();
            idle_connections
                .entry(endpoint.clone())
                .or_default()
                .push(connection);
        }
    }
}

/// Returns whether the endpoint is expected to keep an idle connection open for another request.
pub(crate) fn is_reusable(connection: &Connection, now: Millis) -> bool {
    let (idle_since, keep_alive) = connection.idle;
    let limit_ms = keep_alive.map_or(DEFAULT_KEEP_ALIVE.0, |time| time.0 / KEEP_ALIVE_DIVISOR);
    now.since(idle_since) < limit_ms
}

/// Logs bytes that follow the complete answer to request `id` and belong to no request.
fn log_trailing(id: Option<&str>, endpoint: &EndpointName, bytes: usize) {
    let id = id.unwrap_or_default();
    log::warn!("event=trailing_bytes id={id} endpoint={endpoint} bytes={bytes}");
}
