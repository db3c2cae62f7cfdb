//! Scripts of the second review. Usage: `cases CASE RECORD`, from the repository's root. The
//! disruption is left out if `TROUBLE` is 0. Exits with 1 if the rule was broken, 0 if it held, and 2
//! if the case couldn't run.

#[path = "6/cut.rs"]
mod cut;
#[path = "deployment-2.rs"]
mod deployment;
#[path = "http-2.rs"]
mod http;
#[path = "record-2.rs"]
mod record;
#[path = "7/revoked.rs"]
mod revoked;
#[path = "store-2.rs"]
mod store;
#[path = "worker-2.rs"]
mod worker;

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

use crate::record::Record;

/// How a case ended.
pub enum End {
    Held,
    Broken,
    NotRun(String),
}

/// Returns the time of day in Unix milliseconds.
pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(now.expect("a time after 1970").as_millis()).expect("a time in range")
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if let [role, name, address, store] = arguments.as_slice()
        && role == "worker"
        && let (Ok(address), Ok(store)) = (address.parse(), store.parse())
    {
        return match cut::serve(name, address, store) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("the worker {name} ended: {error}");
                ExitCode::from(2)
            }
        };
    }
    let [case, path] = arguments.as_slice() else {
        eprintln!("usage: cases CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").is_ok_and(|value| value == "0");
    let record = Record::new(path);
    record.line(format!("case={case} disruption={}", !trouble));
    // A panic, such as that of a port in use, says nothing about the rule.
    let end = catch_unwind(AssertUnwindSafe(|| match case.as_str() {
        "cut" => cut::run(&record, !trouble),
        "revoked" => revoked::run(&record, !trouble),
        _ => End::NotRun(format!("no case {case}")),
    }));
    let end = end.unwrap_or_else(|_| End::NotRun("a panic".into()));
    let code = match end {
        End::Held => {
            record.line("the rule held");
            0
        }
        End::Broken => {
            record.line("the rule was broken");
            1
        }
        End::NotRun(reason) => {
            record.line(format!("not run: {reason}"));
            2
        }
    };
    record.write();
    ExitCode::from(code)
}
