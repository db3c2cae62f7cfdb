//! Tests of the whole path over sockets.

mod support;

mod actions;
mod overload;
mod streams;
