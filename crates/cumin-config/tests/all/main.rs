//! Tests of documents, settings, promotion and look-ups.

mod lookup;
