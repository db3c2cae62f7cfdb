//! `cuminctl load`: sends load at a steady rate.
use crate::{Status, Terminal, ctl::Failure};
use derive_more::{Display, Error};
use std::ffi::OsString;
pub(crate) const HELP: &str = "";
/// x
#[derive(Debug, Display, Error)]
pub enum Error {}
impl Error {
    pub(crate) fn status(&self) -> Status {
        Status::Refused
    }
}
pub(crate) fn command(
    _args: Vec<OsString>,
    _terminal: &mut Terminal<'_>,
) -> Result<Status, Failure> {
    Ok(Status::Done)
}
