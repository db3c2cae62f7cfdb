//! `cuminctl keygen`: generates an organisation key and its digest.

use std::ffi::OsString;

use cumin_config::{generate_key, key_digest};
use cumin_types::Digest;

use crate::args::Args;
use crate::ctl::Failure;
use crate::{Status, Terminal};

pub(crate) const HELP: &str = "\
Makes a new organisation key of 256 random bits. The key goes to the organisation and is stored
nowhere; its digest goes into the document's `key_digests`.

usage: cuminctl keygen";

/// A generated key.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The key, which only the organisation keeps.
    pub key: String,
    /// The digest of the key, for `key_digests` in the document.
    pub digest: Digest,
}

/// Generates a key.
#[must_use]
pub fn keygen() -> Outcome {
    let key = generate_key(&mut rand::rng());
    let digest = key_digest(&key);
    Outcome { key, digest }
}

pub(crate) fn command(args: Vec<OsString>, terminal: &mut Terminal<'_>) -> Result<Status, Failure> {
    Args::new(args, &["--help"])?.finish()?;
    let generated = keygen();
    terminal.print(format!(
        "key    {}\ndigest {}",
        generated.key, generated.digest
    ));
    Ok(Status::Done)
}
