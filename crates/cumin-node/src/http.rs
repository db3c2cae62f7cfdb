//! Clients of HTTP services, and what their errors prove.

use std::time::Duration;

use awc::error::{ConnectError, SendRequestError};

/// Makes a client that keeps idle connections for `keep`.
pub(crate) fn client(connect: Duration, keep: Duration) -> awc::Client {
    let connector = awc::Connector::new()
        .timeout(connect)
        .conn_keep_alive(keep)
        .limit(4096);
    awc::Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .finish()
}

/// Returns true when no byte of the request can have left this node.
///
/// `ConnectError::Disconnected` is not among these: `awc` reports it when the connection closes
/// after the request was sent and before an answer. Taking it for a failed connection dispatched
/// a booking twice.
pub(crate) fn unsent(error: &SendRequestError) -> bool {
    matches!(
        error,
        SendRequestError::Url(_)
            | SendRequestError::Connect(
                ConnectError::Resolver(_)
                    | ConnectError::NoRecords
                    | ConnectError::Timeout
                    | ConnectError::Unresolved
                    | ConnectError::SslIsNotSupported
                    | ConnectError::Io(_)
            )
    )
}
