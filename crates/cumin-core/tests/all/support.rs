use std::path::{Path, PathBuf};

use cumin_core::{Status, Terminal};

/// How a command line ended.
#[derive(Debug)]
pub struct Ended {
    pub status: Status,
    pub out: String,
    pub err: String,
}

pub fn ctl(args: &[&str]) -> Ended {
    ended(cumin_core::ctl, args)
}

pub fn node(args: &[&str]) -> Ended {
    ended(cumin_core::node, args)
}

type Command = fn(Vec<std::ffi::OsString>, &mut Terminal<'_>) -> Status;

fn ended(command: Command, args: &[&str]) -> Ended {
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let mut terminal = Terminal {
        stdout: &mut out,
        stderr: &mut err,
        colour: false,
    };
    let status = command(args.iter().map(Into::into).collect(), &mut terminal);
    let text = |bytes| String::from_utf8(bytes).expect("UTF-8");
    Ended {
        status,
        out: text(out),
        err: text(err),
    }
}

/// Returns the path of an example.
pub fn example(name: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    root.join(name).display().to_string()
}

/// A file that is removed when the test ends.
pub struct Scratch(PathBuf);

impl Scratch {
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

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}
