//! Tests of the HTTP server over real sockets.

mod chunks;
mod drain;
