//! Tests of the whole system over loopback sockets.

mod support;

mod actions;
mod configuration;
mod overload;
mod resumes;
mod streams;
