//! `cuminladder entry`: runs an entry on the users' platform until it is stopped.

use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::time::Duration;

use cumin_entry::settings::Settings;
use cumin_platform::settings::{self, SettingsError};
use cumin_platform::{HttpCloud, HttpDialect, HttpStore, JsonCodec, StoreLimits};
use cumin_serve::{BootClock, Platform, StartError, sink};
use derive_more::{Display, Error};

use crate::args::Args;
use crate::{Status, Terminal, UsageError};

const HELP: &str = "\
Runs an entry on the users' platform.

usage: cuminladder entry [--settings FILE] [--check] [--log LEVEL]

  --settings FILE  settings that the platform writes; $CUMINLADDER_BOOT when absent
  --check          check the settings and exit; opens no socket
  --log LEVEL      off, error, warn, info, debug or trace; RUST_LOG or info when absent
  --help           print this text

Log lines go to standard output. SIGTERM drains the entry; SIGHUP reads the settings again.

exit status: 0 drained or checked, 2 bad usage or settings, 3 an address can't be bound";

const FLAGS: &[&str] = &["--settings", "--check", "--log", "--help"];

/// Options of `cuminladder entry`.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// File with the settings, which the platform writes.
    pub settings: PathBuf,
    /// Checks the settings without running the entry.
    pub check: bool,
    /// Log level that applies when `RUST_LOG` is not set.
    pub log: Option<String>,
}

/// The error of an entry that could not run.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// The settings can't be read or are not accepted.
    #[display("{_0}")]
    Settings(SettingsError),
    /// The log writer can't be started.
    #[display("the log can't be started: {_0}")]
    Log(std::io::Error),
    /// The entry can't start.
    #[display("{_0}")]
    Start(StartError),
}

impl Options {
    fn read(args: Vec<OsString>, default_path: Option<OsString>) -> Result<Self, UsageError> {
        let mut args = Args::new(args, FLAGS)?;
        let given = args.path("--settings")?;
        let options = Self {
            settings: given.or(default_path.map(PathBuf::from)).ok_or_else(|| {
                UsageError::missing("--settings", "a file, or its path in CUMINLADDER_BOOT")
            })?,
            check: args.flag("--check"),
            log: args.value("--log", "off, error, warn, info, debug or trace")?,
        };
        args.finish()?;
        Ok(options)
    }
}

/// Runs `cuminladder entry` with the arguments that follow `entry`.
pub fn entry(args: Vec<OsString>, terminal: &mut Terminal<'_>) -> Status {
    if args.iter().any(|arg| arg == "--help" || arg == "-h") {
        terminal.print(HELP);
        return Status::Done;
    }
    let options = match Options::read(args, std::env::var_os(settings::PATH_VARIABLE)) {
        Ok(options) => options,
        Err(error) => {
            terminal.error(error);
            terminal.progress("`cuminladder entry --help` lists the flags");
            return Status::Usage;
        }
    };
    match run(&options) {
        Ok(()) => Status::Done,
        Err(Error::Settings(error)) => {
            terminal.error(error);
            Status::Usage
        }
        Err(error) => {
            terminal.error(error);
            Status::Unavailable
        }
    }
}

/// Longest time to write the remaining log lines before the process exits. It must be well below
/// the last 0.5 s before the platform kills the process, which a stop leaves free.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Checks the settings, then runs the entry until it is stopped.
///
/// # Errors
/// Returns an error when the settings can't be read or are not accepted, or when the log or the
/// entry can't start.
pub fn run(options: &Options) -> Result<(), Error> {
    let settings = settings::read(Path::new(&options.settings)).map_err(Error::Settings)?;
    if options.check {
        return Ok(());
    }
    let sink = sink::init(options.log.as_deref().unwrap_or("info")).map_err(Error::Log)?;
    let system = actix_rt::System::new();
    let result = system.block_on(async move {
        let platform = platform(&settings, options.settings.clone());
        let entry = cumin_serve::run(settings, platform);
        entry.await.map_err(Error::Start)
    });
    // Lines that the reader does not take in time are lost; there is nowhere left to report it.
    let _ = sink.drain(LOG_FLUSH_TIMEOUT);
    result
}

fn platform(settings: &Settings, path: PathBuf) -> Platform {
    let cloud = settings.cloud_address.map(HttpCloud::new);
    Platform {
        store: Box::new(HttpStore::new(
            settings.store_address,
            StoreLimits::default(),
        )),
        cloud: cloud.map(|cloud| Box::new(cloud) as _),
        codec: Box::new(JsonCodec),
        dialect: Box::new(HttpDialect),
        clock: Box::new(BootClock),
        load_settings: Box::new(move || settings::read(&path).map_err(|error| error.to_string())),
    }
}
