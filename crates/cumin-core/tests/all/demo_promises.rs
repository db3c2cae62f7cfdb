use cumin_core::Status;
use serde_json::Value;

use crate::support::{TempFile, ctl};

/// Guards against a promise that does not hold, a check that is missing, and JSON that can't be
/// parsed.
#[test]
fn demo_holds_promises() {
    let input = TempFile::new("Proofed 4 h at 21 degrees, crumb close. \u{14c}tautahi rewena.");
    let output = ctl(&["demo", "--json", "--input", input.path()]);
    let table: Value = serde_json::from_str(&output.stdout).expect("JSON");
    let promises = table["promises"].as_array().expect("promises");
    for row in promises {
        assert_eq!(row["held"], true, "{row}");
    }
    assert_eq!(promises.len(), 13);
    assert_eq!(table["held"], true);
    assert_eq!(output.status, Status::Done, "{}", output.stderr);
}
