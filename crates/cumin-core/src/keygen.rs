//! `cuminctl keygen`: makes an organisation key and its digest.

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

/// A new key.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The key, for the organisation.
    pub key: String,
    /// Its digest, for the document.
    pub digest: Digest,
}

/// Makes a key.
#[must_use]
pub fn keygen() -> Outcome {
    let key = generate_key(&mut rand::rng());
    let digest = key_digest(&key);
    Outcome { key, digest }
}

pub(crate) fn command(args: Vec<OsString>, terminal: &mut Terminal<'_>) -> Result<Status, Failure> {
    Args::new(args, &["--help"])?.done()?;
    let made = keygen();
    terminal.print(format!("key    {}\ndigest {}", made.key, made.digest));
    Ok(Status::Done)
}
