//! HTTP clients, and the errors that prove that a request was not sent.

use std::time::Duration;

use awc::error::{ConnectError, SendRequestError};

/// Creates a client that keeps idle connections for `keep_alive`.
pub(crate) fn client(connect_timeout: Duration, keep_alive: Duration) -> awc::Client {
    let connector = awc::Connector::new()
        .timeout(connect_timeout)
        .conn_keep_alive(keep_alive)
        .limit(4096);
    awc::Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .finish()
}

/// Returns true when the error proves that no byte of the request left this node.
///
/// `ConnectError::Disconnected` does not: `awc` also reports it when the connection closes after
/// the request was sent and before the response arrives. Treating it as a failed connection
/// executed a booking twice.
pub(crate) fn is_unsent(error: &SendRequestError) -> bool {
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
