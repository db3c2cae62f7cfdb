use std::path::{Path, PathBuf};

use cumin_core::{Status, Terminal};

/// Exit status and output of a command line.
#[derive(Debug)]
pub struct Output {
    pub status: Status,
    pub stdout: String,
    pub stderr: String,
}

/// Runs `cuminctl` in this process.
pub fn ctl(args: &[&str]) -> Output {
    run(cumin_core::ctl, args)
}

/// Runs `cuminladder` in this process.
pub fn node(args: &[&str]) -> Output {
    run(cumin_core::node, args)
}

type Command = fn(Vec<std::ffi::OsString>, &mut Terminal<'_>) -> Status;

fn run(command: Command, args: &[&str]) -> Output {
    let (mut stdout, mut stderr) = (Vec::new(), Vec::new());
    let mut terminal = Terminal {
        stdout: &mut stdout,
        stderr: &mut stderr,
        colour: false,
    };
    let status = command(args.iter().map(Into::into).collect(), &mut terminal);
    let text = |bytes| String::from_utf8(bytes).expect("UTF-8");
    Output {
        status,
        stdout: text(stdout),
        stderr: text(stderr),
    }
}

/// Returns the path of a file in `examples`.
pub fn example(name: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    root.join(name).display().to_string()
}

/// A temporary file, which is removed when this value is dropped.
pub struct TempFile(PathBuf);

impl TempFile {
    pub fn new(content: impl AsRef<[u8]>) -> Self {
        let name = format!("cumin-core-{}", uuid::Uuid::new_v4());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, content).expect("the file is written");
        Self(path)
    }

    pub fn path(&self) -> &str {
        self.0.to_str().expect("UTF-8")
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}
