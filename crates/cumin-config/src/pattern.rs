//! Text formats in the document and the settings, as patterns of the JSON schema.

use std::net::SocketAddr;

use cumin_types::Digest;

/// Name of an environment, region, place, service or other object.
pub const NAME: &str = "^[a-z0-9][a-z0-9._-]{0,62}$";
/// Path of a route; `{name}` matches one segment, a final `{name...}` one or more.
pub const ROUTE: &str =
    r"^(/([A-Za-z0-9_~.-]+|\{[a-z_]+\}))*/([A-Za-z0-9_~.-]+|\{[a-z_]+(\.\.\.)?\})$";
/// ISO 4217 currency code.
pub const CURRENCY: &str = "^[A-Z]{3}$";
/// Numeric IP address and port.
pub const ADDRESS: &str = r"^([0-9.]+|\[[0-9a-fA-F:.]+\]):[0-9]{1,5}$";
/// SHA-256 digest; the same as the pattern in the schema of [`Digest`].
pub const DIGEST: &str = "^[0-9a-f]{64}$";

/// Returns whether `text` matches `pattern`, and a description of what the pattern accepts.
///
/// The set of patterns is fixed, so each is implemented as a function, which avoids a dependency
/// on a regular expression engine. An unknown pattern accepts nothing.
pub(crate) fn matches(pattern: &str, text: &str) -> (bool, &'static str) {
    match pattern {
        NAME => (
            is_name(text),
            "1 to 63 of a-z, 0-9, '-', '_' and '.', the first a letter or digit",
        ),
        ROUTE => (
            is_route_path(text),
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

fn is_name(text: &str) -> bool {
    let alphanumeric = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit();
    (1..=63).contains(&text.len())
        && alphanumeric(text.as_bytes()[0])
        && text
            .bytes()
            .all(|byte| alphanumeric(byte) || b"-_.".contains(&byte))
}

fn is_route_path(text: &str) -> bool {
    let Some(path) = text.strip_prefix('/') else {
        return false;
    };
    let segment_count = path.split('/').count();
    path.split('/').enumerate().all(|(index, segment)| {
        if let Some(parameter) = segment.strip_prefix('{').and_then(|s| s.strip_suffix('}')) {
            let is_last = index + 1 == segment_count;
            let parameter = parameter
                .strip_suffix("...")
                .filter(|_| is_last)
                .unwrap_or(parameter);
            !parameter.is_empty()
                && parameter
                    .bytes()
                    .all(|b| b.is_ascii_lowercase() || b == b'_')
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
