use cumin_core::Status;
use serde_json::Value;

use crate::support::{Scratch, ctl};

/// Guards against a broken promise, a check that is left out, and a table that programs can't
/// read.
#[test]
fn demo_holds_promises() {
    let input = Scratch::new("Proofed 4 h at 21 degrees, crumb close. \u{14c}tautahi rewena.");
    let ended = ctl(&["demo", "--json", "--input", input.path()]);
    let table: Value = serde_json::from_str(&ended.out).expect("JSON");
    let promises = table["promises"].as_array().expect("promises");
    for row in promises {
        assert_eq!(row["held"], true, "{row}");
    }
    assert_eq!(promises.len(), 13);
    assert_eq!(table["held"], true);
    assert_eq!(ended.status, Status::Done, "{}", ended.err);
}
