//! Tests of the HTTP server over real sockets.

mod drain;
