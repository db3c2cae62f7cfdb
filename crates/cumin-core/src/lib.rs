//! Commands of both binaries.
