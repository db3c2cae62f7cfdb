//! Calls between nodes: JSON-RPC messages, the server side and the client side.
//!
//! `jsonrpsee` brings the typed methods, their dispatch and the client. The server side runs
//! on `cumin-http`, so that the shared secret is checked before a body is read and a test can
//! close every connection at once.

mod client;
mod rpc;
mod server;

pub(crate) use client::ClientPool;
pub(crate) use rpc::{FoundRequest, PeerClient};
pub(crate) use server::{Inbox, PeerCall, serve};
