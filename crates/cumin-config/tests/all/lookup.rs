use cumin_config::{Document, Method, Route, generate_key, key_digest};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

fn bakers() -> Document {
    crate::parse_valid(crate::BAKERS)
}

/// Guards against a caller that is accounted to another organisation or accepted without a key.
#[test]
fn keys_find_their_organisation() {
    let doc = bakers();
    for (key, org) in [
        ("demo-hamilton-ovens-1", Some("hamilton-ovens")),
        ("demo-hamilton-ovens-2", Some("hamilton-ovens")),
        ("demo-cambridge-loaves-1", Some("cambridge-loaves")),
        ("demo-te-awamutu-growers-1", Some("te-awamutu-growers")),
        ("demo-raglan-bread-club-1", Some("raglan-bread-club")),
        ("demo-matamata-school-1", Some("matamata-school")),
        ("demo-matamata-school-2", None),
        ("", None),
        ("36a9e7f1c65b3d4ce3c7", None),
    ] {
        let found = doc.organisation_for_key(key).map(AsRef::as_ref);
        assert_eq!(found, org, "{key}");
    }
}

/// Guards against generated keys that repeat or that the document doesn't recognise.
#[test]
fn generated_keys_differ() {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let (one, two) = (generate_key(&mut rng), generate_key(&mut rng));
    assert_ne!(one, two);
    assert_eq!(one.len(), "cumin-".len() + 64);
    let mut doc = bakers();
    let org = doc
        .organisations
        .get_mut("raglan-bread-club")
        .expect("in the example");
    org.key_digests.insert(key_digest(&one));
    let found = doc.organisation_for_key(&one).map(AsRef::as_ref);
    assert_eq!(found, Some("raglan-bread-club"));
    assert_eq!(doc.organisation_for_key(&two), None);
}

/// Guards against model calls that are sent to a service without the model.
#[test]
fn models_find_their_service() {
    let doc = bakers();
    let service = |model: &str| {
        doc.service_of_model(&model.into())
            .map(|(name, _)| name.to_string())
    };
    assert_eq!(service("crumb-8b").as_deref(), Some("crumb-assist"));
    assert_eq!(service("oven-desk"), None);
}

/// Guards against a non-idempotent call that is taken for an idempotent one and sent again.
#[test]
fn routes_match_exactly() {
    let doc = bakers();
    for (service, method, path, expected) in [
        ("oven-desk", "GET", "/slots", true),
        ("oven-desk", "HEAD", "/anything", true),
        ("oven-desk", "POST", "/bookings", false),
        ("oven-desk", "POST", "/quotes", true),
        ("oven-desk", "POST", "quotes?loaves=3", true),
        ("oven-desk", "post", "/quotes", false),
        ("oven-desk", "POST", "/quotes/", false),
        ("oven-desk", "POST", "/quotes/1", false),
        ("oven-desk", "PUT", "/slots/7/note", true),
        ("oven-desk", "PUT", "/slots//note", false),
        ("oven-desk", "PUT", "/slots/../note", false),
        ("oven-desk", "PUT", "/slots/a%2fb/note", false),
        ("oven-desk", "PUT", "/slots/7;x/note", false),
        ("oven-desk", "DELETE", "/slots/7/note", false),
        ("crumb-assist", "GET", "/slots", false),
        ("no-service", "GET", "/slots", false),
    ] {
        let found = doc.is_idempotent(&service.into(), method, path);
        assert_eq!(found, expected, "{service} {method} {path}");
    }
    let rest = Route {
        method: Method::Post,
        path: "/find/{rest...}".into(),
    };
    assert!(rest.matches("POST", "/find/a") && rest.matches("POST", "/find/a/b"));
    assert!(!rest.matches("POST", "/find") && !rest.matches("POST", "/find/a/../b"));
}
