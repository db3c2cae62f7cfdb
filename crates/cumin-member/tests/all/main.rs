//! Tests of the membership machine, without sockets.

mod net;

mod bounds;
mod crash;
mod duties;
mod items;
mod leave;
mod partition;
mod pause;
mod random;
mod restart;
mod seeds;
