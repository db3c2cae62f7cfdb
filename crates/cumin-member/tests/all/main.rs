//! Tests of the membership state machine on a simulated network.

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
