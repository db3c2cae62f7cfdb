//! Parsing of command lines, with the most similar name suggested for an unknown one.

use std::ffi::OsString;
use std::path::PathBuf;
use std::str::FromStr;

use derive_more::{Display, Error};
use pico_args::Arguments;

/// A command line that is not accepted.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum UsageError {
    /// The command does not exist.
    #[display("{found:?} is no command; did you mean `{nearest}`?")]
    UnknownCommand {
        /// The name given.
        found: String,
        /// The existing command with the most similar name.
        nearest: String,
    },
    /// The command does not have the flag.
    #[display("{found:?} is no flag of this command; did you mean `{nearest}`?")]
    UnknownFlag {
        /// The name given.
        found: String,
        /// The existing flag with the most similar name.
        nearest: String,
    },
    /// A value is missing or not accepted.
    #[display("{key}: found {found}; accepted: {accepted}")]
    InvalidValue {
        /// The name of the flag or argument.
        key: String,
        /// The value given.
        found: String,
        /// Description of the accepted values.
        accepted: String,
    },
    /// The command does not take the argument.
    #[display("unexpected argument {_0:?}")]
    UnexpectedArgument(#[error(not(source))] String),
}

impl UsageError {
    pub(crate) fn missing(key: &str, accepted: &str) -> Self {
        Self::value(key, "nothing", accepted)
    }

    pub(crate) fn value(key: &str, found: &str, accepted: &str) -> Self {
        Self::InvalidValue {
            key: key.into(),
            found: found.into(),
            accepted: accepted.into(),
        }
    }
}

/// Arguments of one command that are not parsed yet.
pub(crate) struct Args {
    remaining: Arguments,
}

impl Args {
    /// Creates a parser for a command that has these flags.
    ///
    /// # Errors
    /// Returns an error for a flag that is not one of `flags`. This is checked before anything is
    /// parsed, so that a misspelt flag is not reported as a missing one.
    pub(crate) fn new(args: Vec<OsString>, flags: &[&str]) -> Result<Self, UsageError> {
        for arg in &args {
            let text = arg.to_string_lossy();
            let name = text.split('=').next().unwrap_or_default();
            // A negative number is the value of a flag.
            let is_number = name.parse::<f64>().is_ok();
            if name.starts_with('-') && !is_number && !flags.contains(&name) {
                return Err(UsageError::UnknownFlag {
                    found: name.into(),
                    nearest: nearest(name, flags).into(),
                });
            }
        }
        Ok(Self {
            remaining: Arguments::from_vec(args),
        })
    }

    pub(crate) fn flag(&mut self, name: &'static str) -> bool {
        self.remaining.contains(name)
    }

    /// Parses the value of a flag; `accepted` describes the accepted values in an error.
    pub(crate) fn value<T: FromStr>(
        &mut self,
        name: &'static str,
        accepted: &str,
    ) -> Result<Option<T>, UsageError> {
        let text: Option<String> = self
            .remaining
            .opt_value_from_str(name)
            .map_err(|_| UsageError::missing(name, accepted))?;
        let parse = |text: String| {
            text.parse()
                .map_err(|_| UsageError::value(name, &format!("{text:?}"), accepted))
        };
        text.map(parse).transpose()
    }

    pub(crate) fn path(&mut self, name: &'static str) -> Result<Option<PathBuf>, UsageError> {
        self.remaining
            .opt_value_from_os_str(name, |text| Ok::<_, std::convert::Infallible>(text.into()))
            .map_err(|_| UsageError::missing(name, "a file"))
    }

    /// Returns the positional arguments.
    ///
    /// # Errors
    /// Returns an error when a flag was given twice.
    pub(crate) fn positional(self) -> Result<Vec<PathBuf>, UsageError> {
        let positional = self.remaining.finish();
        // Parsing a flag removes its first occurrence only, so a repeated one is still here.
        let texts = positional.iter().map(|arg| arg.to_string_lossy());
        if let Some(repeated) = texts.into_iter().find(|arg| arg.starts_with('-')) {
            return Err(UsageError::value(&repeated, "it twice", "each flag once"));
        }
        Ok(positional.into_iter().map(PathBuf::from).collect())
    }

    /// Checks that no positional argument is given.
    pub(crate) fn finish(self) -> Result<(), UsageError> {
        match self.positional()?.first() {
            Some(extra) => Err(UsageError::UnexpectedArgument(extra.display().to_string())),
            None => Ok(()),
        }
    }

    /// Returns the `N` paths that the command takes; `names` are their names in an error.
    pub(crate) fn files<const N: usize>(
        self,
        names: [&str; N],
    ) -> Result<[PathBuf; N], UsageError> {
        let paths = self.positional()?;
        if let Some(extra) = paths.get(N) {
            return Err(UsageError::UnexpectedArgument(extra.display().to_string()));
        }
        let count = paths.len();
        paths
            .try_into()
            .map_err(|_| UsageError::missing(names[count], "a file"))
    }
}

/// Returns the known name with the smallest edit distance from `found`.
pub(crate) fn nearest<'a>(found: &str, known: &[&'a str]) -> &'a str {
    let nearest = known.iter().min_by_key(|name| edit_distance(found, name));
    nearest.copied().unwrap_or_default()
}

/// Returns the Levenshtein distance, in characters.
fn edit_distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (position, char) in left.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = position + 1;
        for (column, other) in right.iter().enumerate() {
            let replaced = diagonal + usize::from(char != *other);
            diagonal = row[column + 1];
            row[column + 1] = replaced.min(diagonal + 1).min(row[column] + 1);
        }
    }
    row[right.len()]
}
