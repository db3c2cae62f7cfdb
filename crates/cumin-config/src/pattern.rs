//! Text formats of the document and the settings, as patterns of the JSON schema.

use std::net::SocketAddr;

use cumin_types::Digest;

/// Names of environments, regions, places, services and the like.
pub const NAME: &str = "^[a-z0-9][a-z0-9._-]{0,62}$";
/// Path of a route, with `{name}` for one segment and a last `{name...}` for one or more.
pub const ROUTE: &str =
    r"^(/([A-Za-z0-9_~.-]+|\{[a-z_]+\}))*/([A-Za-z0-9_~.-]+|\{[a-z_]+(\.\.\.)?\})$";
/// ISO 4217 code of a currency.
pub const CURRENCY: &str = "^[A-Z]{3}$";
/// Numeric address and port.
pub const ADDRESS: &str = r"^([0-9.]+|\[[0-9a-fA-F:.]+\]):[0-9]{1,5}$";
/// SHA-256 digest; equal to the pattern of `Digest`.
pub const DIGEST: &str = "^[0-9a-f]{64}$";

/// Returns whether `text` matches `pattern`, and what the pattern accepts.
///
/// The patterns are a fixed set, so each has a function here in place of a regular expression
/// engine. An unknown pattern accepts nothing.
pub(crate) fn matches(pattern: &str, text: &str) -> (bool, &'static str) {
    match pattern {
        NAME => (
            name(text),
            "1 to 63 of a-z, 0-9, '-', '_' and '.', the first a letter or digit",
        ),
        ROUTE => (
            route(text),
            "a path such as \"/slots/{slot}\" or \"/slots/{rest...}\", without query, empty, '.' or '..' segments",
        ),
        CURRENCY => (
            text.len() == 3 && text.bytes().all(|byte| byte.is_ascii_uppercase()),
            "a currency code of three capital letters",
        ),
        ADDRESS => (
            text.parse::<SocketAddr>().is_ok(),
            "a numeric address and port such as \"127.0.0.1:8080\" or \"[::1]:8080\"",
        ),
        DIGEST => (
            text.parse::<Digest>().is_ok() && !text.bytes().any(|byte| byte.is_ascii_uppercase()),
            "64 lower-case hexadecimal digits, the SHA-256 of a key",
        ),
        _ => (
            false,
            "nothing: the schema has a pattern that this version does not know",
        ),
    }
}

fn name(text: &str) -> bool {
    let first = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit();
    (1..=63).contains(&text.len())
        && first(text.as_bytes()[0])
        && text
            .bytes()
            .all(|byte| first(byte) || b"-_.".contains(&byte))
}

fn route(text: &str) -> bool {
    let Some(path) = text.strip_prefix('/') else {
        return false;
    };
    let count = path.split('/').count();
    path.split('/').enumerate().all(|(at, segment)| {
        if let Some(inner) = segment.strip_prefix('{').and_then(|s| s.strip_suffix('}')) {
            let last = at + 1 == count;
            let inner = inner.strip_suffix("...").filter(|_| last).unwrap_or(inner);
            !inner.is_empty() && inner.bytes().all(|b| b.is_ascii_lowercase() || b == b'_')
        } else {
            !segment.is_empty()
                && segment != "."
                && segment != ".."
                && segment
                    .bytes()
                    .all(|b| b.is_ascii_alphanumeric() || b"_~.-".contains(&b))
        }
    })
}
