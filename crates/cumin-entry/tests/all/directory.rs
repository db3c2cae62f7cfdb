//! Answers of the directory.

use std::net::SocketAddr;

use cumin_entry::peer::spread_addresses;
use cumin_types::NodeName;

/// With 78 entries, all directories returned the same 64, and 14 entries got no callers
/// (umura-ovens-large).
#[test]
fn none_left_out() {
    const ENTRIES: u8 = 78;
    const RETURNED: usize = 64;
    let all: Vec<SocketAddr> = (0..ENTRIES)
        .map(|number| SocketAddr::from(([10, 0, 0, number], 80)))
        .collect();
    let mut counts = [0; ENTRIES as usize];
    for node in 0..ENTRIES {
        let mut addresses = all.clone();
        spread_addresses(&NodeName::from(format!("n{node}")), &mut addresses);
        for address in &addresses[..RETURNED] {
            let number = all.iter().position(|known| known == address).unwrap();
            counts[number] += 1;
        }
    }
    let mean = RETURNED;
    for count in counts {
        assert!(count > mean * 3 / 4 && count < mean * 5 / 4, "{counts:?}");
    }
}
