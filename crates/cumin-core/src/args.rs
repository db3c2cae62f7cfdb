//! Command lines: values of flags, unknown flags, the nearest known word.

use std::ffi::OsString;
use std::path::PathBuf;
use std::str::FromStr;

use derive_more::{Display, Error};
use pico_args::Arguments;

/// A command line that can't be understood.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum UsageError {
    /// There is no such command.
    #[display("{found:?} is no command; did you mean `{nearest}`?")]
    UnknownCommand {
        /// What was given.
        found: String,
        /// The most similar command.
        nearest: String,
    },
    /// The command has no such flag.
    #[display("{found:?} is no flag of this command; did you mean `{nearest}`?")]
    UnknownFlag {
        /// What was given.
        found: String,
        /// The most similar flag.
        nearest: String,
    },
    /// A value is missing or not accepted.
    #[display("{key}: found {found}; accepted: {accepted}")]
    InvalidValue {
        /// The flag or argument.
        key: String,
        /// What was given.
        found: String,
        /// What is accepted.
        accepted: String,
    },
    /// An argument that the command does not take.
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

/// The arguments of one command.
pub(crate) struct Args {
    left: Arguments,
}

impl Args {
    /// Takes the arguments of a command that knows `flags`.
    ///
    /// # Errors
    /// A flag that is not among these. It is found before anything else is read, so that a
    /// misspelt flag is not reported as a missing one.
    pub(crate) fn new(args: Vec<OsString>, flags: &[&str]) -> Result<Self, UsageError> {
        for arg in &args {
            let text = arg.to_string_lossy();
            let name = text.split('=').next().unwrap_or_default();
            // A negative number is the value of a flag.
            let number = name.parse::<f64>().is_ok();
            if name.starts_with('-') && !number && !flags.contains(&name) {
                return Err(UsageError::UnknownFlag {
                    found: name.into(),
                    nearest: nearest(name, flags).into(),
                });
            }
        }
        Ok(Self {
            left: Arguments::from_vec(args),
        })
    }

    pub(crate) fn flag(&mut self, name: &'static str) -> bool {
        self.left.contains(name)
    }

    /// Reads the value of a flag; `accepted` describes it in the error.
    pub(crate) fn value<T: FromStr>(
        &mut self,
        name: &'static str,
        accepted: &str,
    ) -> Result<Option<T>, UsageError> {
        let text: Option<String> = self
            .left
            .opt_value_from_str(name)
            .map_err(|_| UsageError::missing(name, accepted))?;
        let parse = |text: String| {
            text.parse()
                .map_err(|_| UsageError::value(name, &format!("{text:?}"), accepted))
        };
        text.map(parse).transpose()
    }

    pub(crate) fn path(&mut self, name: &'static str) -> Result<Option<PathBuf>, UsageError> {
        self.left
            .opt_value_from_os_str(name, |text| Ok::<_, std::convert::Infallible>(text.into()))
            .map_err(|_| UsageError::missing(name, "a file"))
    }

    /// Returns the arguments that belong to no flag.
    pub(crate) fn rest(self) -> Result<Vec<PathBuf>, UsageError> {
        let rest = self.left.finish();
        // Known flags are left here when they are given twice.
        let again = rest.iter().map(|arg| arg.to_string_lossy());
        if let Some(again) = again.into_iter().find(|arg| arg.starts_with('-')) {
            return Err(UsageError::value(&again, "it twice", "each flag once"));
        }
        Ok(rest.into_iter().map(PathBuf::from).collect())
    }

    /// Checks that nothing is left.
    pub(crate) fn done(self) -> Result<(), UsageError> {
        match self.rest()?.first() {
            Some(extra) => Err(UsageError::UnexpectedArgument(extra.display().to_string())),
            None => Ok(()),
        }
    }

    /// Returns exactly the files that `names` lists.
    pub(crate) fn files<const N: usize>(
        self,
        names: [&str; N],
    ) -> Result<[PathBuf; N], UsageError> {
        let rest = self.rest()?;
        if let Some(extra) = rest.get(N) {
            return Err(UsageError::UnexpectedArgument(extra.display().to_string()));
        }
        let count = rest.len();
        rest.try_into()
            .map_err(|_| UsageError::missing(names[count], "a file"))
    }
}

/// Returns the known word with the fewest edits from `found`.
pub(crate) fn nearest<'a>(found: &str, known: &[&'a str]) -> &'a str {
    let by_edits = known.iter().min_by_key(|word| edits(found, word));
    by_edits.copied().unwrap_or_default()
}

/// Returns the number of characters to insert, remove or replace (Levenshtein).
fn edits(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (at, char) in left.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = at + 1;
        for (column, other) in right.iter().enumerate() {
            let replaced = diagonal + usize::from(char != *other);
            diagonal = row[column + 1];
            row[column + 1] = replaced.min(diagonal + 1).min(row[column] + 1);
        }
    }
    row[right.len()]
}
