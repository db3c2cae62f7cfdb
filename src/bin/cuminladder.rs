//! Node.
fn main() {}
