use cumin_request::PositionError;
use cumin_types::Position;

use crate::transcript;

/// Guards against a resumed caller that receives a token twice or misses one, including tokens that
/// are empty or have multi-byte characters.
#[test]
fn tokens_by_position() {
    let tokens = ["Mö", "", "hre", "🥖"];
    let held = transcript(&tokens);
    assert_eq!(held.text(), "Möhre🥖");
    for from in 0..=tokens.len() {
        let rest: Vec<_> = held.tokens_from(Position(from as u64)).unwrap().collect();
        assert_eq!(rest, tokens[from..]);
    }
}

/// Guards against answering a position past the end with an empty rest.
#[test]
fn position_past_end() {
    let held = transcript(&["a"]);
    for asked in [2, u64::MAX].map(Position) {
        let error = held.tokens_from(asked).err();
        let held = Position(1);
        assert_eq!(error, Some(PositionError { asked, held }));
    }
}
