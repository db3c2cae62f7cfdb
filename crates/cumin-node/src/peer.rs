//! JSON-RPC between nodes: methods, server and client.
//!
//! `jsonrpsee` provides the typed methods, their dispatch and the client. The server runs on
//! `cumin-http`, so that the shared secret is checked before a body is read and a test can close
//! all connections at once.

mod client;
mod rpc;
mod server;

pub(crate) use client::ClientPool;
pub(crate) use rpc::{FoundRequest, PeerClient};
pub(crate) use server::{Inbox, PeerCall, serve};
