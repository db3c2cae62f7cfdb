//! Tests of the whole path over sockets.

mod support;

mod actions;
mod configuration;
mod overload;
mod resumes;
mod streams;
