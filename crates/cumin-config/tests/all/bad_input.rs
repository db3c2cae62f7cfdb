use cumin_config::{Document, Problems};

use crate::{BAKERS, Row, edit, one_problem};

fn check(rows: &[Row]) {
    for (from, to, key, at, accepted) in rows {
        let text = edit(BAKERS, from, to);
        one_problem(Document::parse(&text), &text, key, at, accepted);
    }
}

/// Guards against a misspelt key, a wrong type, a wrong unit or an impossible value that is
/// ignored or taken for another one.
#[test]
#[rustfmt::skip]
fn keys_and_values() {
    check(&[
        ("first_token_ms = 1200", "first_token_ms = 1200\nfirst_token_s = 1", "services.crumb-assist.promises.first_token_s", "first_token_s", "first_token_ms"),
        ("[limits]", "[limit]\n[limits]", "limit", "[limit]", "limits"),
        ("first_token_ms = 1200", "first_token_ms = \"1.2s\"", "services.crumb-assist.promises.first_token_ms", "1.2s", "from 1 to 600000, in milliseconds"),
        ("first_token_ms = 1200", "first_token_ms = 1200.5", "services.crumb-assist.promises.first_token_ms", "1200.5", "a whole number"),
        ("first_token_ms = 1200", "first_token_ms = 0", "services.crumb-assist.promises.first_token_ms", "= 0", "from 1"),
        ("first_token_ms = 1200", "first_token_ms = 99999999999999999999", "services.crumb-assist.promises.first_token_ms", "9999", "from 1"),
        ("key_retention_s = 86400", "key_retention_s = 59", "services.oven-desk.promises.key_retention_s", "59", "from 60 to 2592000, in seconds"),
        ("kind = \"production\"", "kind = \"prod\"", "environment.kind", "prod", "one of \"trial\", \"production\""),
        ("kind = \"production\"", "kind = 1", "environment.kind", "kind = 1", "one of \"trial\""),
        ("version = \"2.1\"", "version = 2026-05-01", "models.crumb-8b.version", "2026", "a text"),
        ("spare_place = true", "spare_place = 1", "services.crumb-assist.promises.spare_place", "= 1", "true or false"),
        ("weight = 4.0", "weight = -1.0", "organisations.hamilton-ovens.weight", "-1.0", "from 0.01 to 1000"),
        ("weight = 4.0", "weight = nan", "organisations.hamilton-ovens.weight", "nan", "a number"),
        ("weight = 4.0", "weight = inf", "organisations.hamilton-ovens.weight", "inf", "a number"),
        ("weight = 4.0\n", "", "organisations.hamilton-ovens.weight", "[organisations.hamilton-ovens]", "a number"),
        ("currency = \"NZD\"", "currency = \"nzd\"", "budget.currency", "nzd", "three capital letters"),
        ("operator = \"Te Umu Rā Baking Cooperative Authority\"", "operator = \"\"", "environment.operator", "operator", "not empty"),
        ("path = \"/quotes\"", "path = \"quotes\"", "services.oven-desk.idempotent[0].path", "quotes", "a path such as"),
        ("path = \"/quotes\"", "path = \"/a/../b\"", "services.oven-desk.idempotent[0].path", "..", "segments"),
        ("path = \"/quotes\"", "path = \"/{a...}/b\"", "services.oven-desk.idempotent[0].path", "...", "a path such as"),
        ("method = \"POST\"", "method = \"GET\"", "services.oven-desk.idempotent[0].method", "GET", "\"POST\""),
        ("adapters = [\"sourdough\", \"rewena\"]", "adapters = [\"sourdough\", \"sourdough\"]", "models.crumb-8b.adapters[1]", "sourdough", "once"),
        ("adapters = [\"sourdough\", \"rewena\"]", "adapters = \"sourdough\"", "models.crumb-8b.adapters", "sourdough", "a list"),
        ("[places.hamilton]", "[places.Hamilton]\nregion = \"waikato\"\n[places.hamilton]", "places.Hamilton", "Hamilton", "a-z"),
        ("classes = [\"cpu-4\"]", "classes = []", "services.oven-desk.classes", "[]", "at least one entry"),
        ("workers = { hamilton = 1, cambridge = 1, te-awamutu = 1 }", "workers = {}", "services.oven-desk.workers", "{}", "at least one entry"),
    ]);
}

/// Guards against a document that refers to undefined names, so that a service can't start.
#[test]
#[rustfmt::skip]
fn references() {
    check(&[
        ("models = [\"crumb-8b\", \"crumb-32b\"]", "models = [\"crumb-8b\", \"crumb-32b\", \"crumb-7b\"]", "services.crumb-assist.models", "crumb-7b", "crumb-32b, crumb-8b"),
        ("region = \"waikato\"", "region = \"otago\"", "places.hamilton.region", "otago", "waikato"),
        ("[places.hamilton]", "[regions.otago]\n[places.hamilton]", "regions.otago", "otago", "at least one place"),
        ("[places.hamilton]", "[places.raglan]\nregion = \"waikato\"\n[places.hamilton]", "places.raglan", "raglan", "at least one offer"),
        ("[places.cambridge]\nregion = \"waikato\"", "[places.cambridge]\nregion = \"waikato\"\nlatency_ms = { cambridge = 1 }", "places.cambridge.latency_ms.cambridge", "latency", "another place"),
        ("class = \"gpu-1x48\"", "class = \"gpu-9\"", "offers.hamilton-gpu-1x48-spot.class", "gpu-9", "cpu-4, gpu-1x48"),
        ("class = \"cpu-4\"\nnodes", "class = \"cpu-5\"\nnodes", "entry.class", "cpu-5", "cpu-4"),
        ("nodes = { hamilton = 2,", "nodes = { raglan = 2,", "entry.nodes.raglan", "raglan", "hamilton"),
        ("workers = { hamilton = 4,", "workers = { raglan = 4,", "services.crumb-assist.workers.raglan", "raglan", "hamilton"),
        ("version = \"2.1\"", "version = \"2.2\"", "models.crumb-8b.version", "2.2", "2.0, 2.1"),
    ]);
}

/// Guards against a document whose quotas, models or budget no set of instances can satisfy.
#[test]
#[rustfmt::skip]
fn capacity() {
    check(&[
        ("[models.crumb-32b]", "[models.crumb-400b]\nversion = \"1\"\nversions = [\"1\"]\nmemory_gib = 800\ncontext_tokens = 8192\n[models.crumb-32b]", "models.crumb-400b.memory_gib", "800", "at most 96"),
        ("classes = [\"gpu-1x48\", \"gpu-2x48\"]", "classes = [\"gpu-1x48\"]", "services.crumb-assist.models", "crumb-32b", "fit a class of the service"),
        ("concurrent_requests = 120", "concurrent_requests = 321", "organisations.hamilton-ovens.quota.concurrent_requests", "321", "at most 320"),
        ("concurrent_requests = 320", "concurrent_requests = 353", "limits.concurrent_requests", "353", "at most 352"),
        ("tokens_per_minute = 1200000", "tokens_per_minute = 1440001", "limits.tokens_per_minute", "1440001", "at most 1440000"),
        ("requests_per_second = 30.0", "requests_per_second = 61.0", "organisations.hamilton-ovens.quota.requests_per_second", "61.0", "at most 60"),
        ("per_hour = 38.00", "per_hour = 3.00", "budget.per_hour", "3.00", "at least"),
        ("cost = 0.7\nrecompute = 0.3", "cost = 0.0\nrecompute = 0.0", "objective", "objective", "above 0"),
        ("nodes = { hamilton = 2, cambridge = 1, te-awamutu = 1 }", "nodes = { hamilton = 0 }", "entry.nodes", "nodes", "at least one"),
        ("workers = { hamilton = 1, cambridge = 1, te-awamutu = 1 }", "workers = { hamilton = 3 }", "services.oven-desk.promises.spare_place", "spare_place", "two places"),
        ("accelerators = 0\naccelerator_memory_gib = 0", "accelerators = 0\naccelerator_memory_gib = 8", "classes.cpu-4.accelerator_memory_gib", "8", "0"),
    ]);
}

/// Guards against keys that have no effect because they belong to the other kind of service.
#[test]
#[rustfmt::skip]
fn kinds() {
    check(&[
        ("concurrent_requests = 64", "concurrent_requests = 64\ntokens_per_second = 1", "services.oven-desk.worker.tokens_per_second", "tokens_per_second", "no such key"),
        ("between_tokens_ms = 60\n", "", "services.crumb-assist.promises.between_tokens_ms", "promises", "a value"),
        ("between_tokens_ms = 60\n", "between_tokens_ms = 60\nkey_retention_s = 60\n", "services.crumb-assist.promises.key_retention_s", "key_retention_s", "no such key"),
        ("verifies_sender = true", "honours_keys = true", "services.crumb-assist.honours_keys", "honours_keys", "no such key"),
        ("[services.oven-desk]\nkind = \"plain\"", "[services.oven-desk]\nmodels = [\"crumb-8b\"]\nkind = \"plain\"", "services.oven-desk.models", "models", "no such key"),
    ]);
}

/// Guards against duplicate keys, and keys of callers shared by two organisations.
#[test]
#[rustfmt::skip]
fn duplicates() {
    check(&[
        ("[places.hamilton]", "[places.hamilton]\n[places.hamilton]", "places.hamilton", "[places.hamilton]", "once"),
        ("[limits]", "[ limits ]\nconcurrent_requests = 320", "limits.concurrent_requests", "concurrent", "once"),
        ("workers = { hamilton = 4", "workers = { hamilton = 4, hamilton = 5", "services.crumb-assist.workers.hamilton", "workers", "once"),
    ]);
    let digest = "c5f6650306fa2b1a3a8089bd147e352de15fba16bc07fcec54007abd0152ea21";
    let other = "4ed9f81972f1839f975db2504273eab6e92ed4cf2a6d3d6523dcb186ce47abb2";
    let shared = edit(BAKERS, other, digest);
    one_problem(
        Document::parse(&shared),
        &shared,
        "organisations.raglan-bread-club.key_digests",
        digest,
        "no other organisation",
    );
}

/// Guards against a model served by two services, and a service name that the cloud API reserves.
#[test]
fn names_taken() {
    let (_, rest) = BAKERS
        .split_once("[services.crumb-assist]")
        .expect("in the example");
    let (section, _) = rest.split_once("# Slot").expect("in the example");
    let copy = section
        .replace("crumb-assist", "crumb-chat")
        .replace("\"crumb-8b\", ", "");
    let text = format!("{BAKERS}\n[services.crumb-chat]{copy}").replace("38.00", "58.00");
    one_problem(
        Document::parse(&text),
        &text,
        "services.crumb-chat.models",
        "crumb-32b",
        "no other service",
    );

    let text = BAKERS.replace("services.oven-desk", "services.entry");
    one_problem(
        Document::parse(&text),
        &text,
        "services.entry",
        "services.entry",
        "another name",
    );
}

/// Guards against error messages that show a key or secret, for example in a ticket.
#[test]
fn keys_are_not_shown() {
    let digest = "c5f6650306fa2b1a3a8089bd147e352de15fba16bc07fcec54007abd0152ea21";
    let pasted = edit(BAKERS, digest, "the-key-itself");
    let path = "organisations.cambridge-loaves.key_digests[0]";
    let problem = one_problem(
        Document::parse(&pasted),
        &pasted,
        path,
        "the-key",
        "64 lower-case",
    );
    assert!(!problem.to_string().contains("the-key"), "{problem}");
    let open = edit(BAKERS, &format!("\"{digest}\""), "\"the-key-itself");
    let text = Document::parse(&open)
        .expect_err("a string without end")
        .to_string();
    assert!(!text.contains("the-key"), "{text}");
}

/// Guards against problems that only show up after others are fixed: invalid values and unknown
/// names are reported together.
#[test]
fn all_problems_reported() {
    let mut text = edit(BAKERS, "first_token_ms = 1200", "first_token_ms = \"fast\"");
    text = edit(
        &text,
        "kind = \"production\"",
        "kind = \"prod\"\ncolour = \"red\"",
    );
    text = edit(&text, "region = \"waikato\"", "region = \"otago\"");
    text = edit(&text, "weight = 4.0\n", "");
    let Err(Problems(problems)) = Document::parse(&text) else {
        panic!("accepted");
    };
    let keys: Vec<&str> = problems
        .iter()
        .map(|problem| problem.key.as_str())
        .collect();
    assert_eq!(
        keys,
        [
            "environment.kind",
            "environment.colour",
            "places.hamilton.region",
            "services.crumb-assist.promises.first_token_ms",
            "organisations.hamilton-ovens.weight",
        ]
    );
    assert!(problems.is_sorted_by_key(|problem| problem.line));
}

/// Guards against syntax errors that are reported one at a time or out of order.
#[test]
fn syntax_by_line() {
    let text = edit(BAKERS, "name = \"bakers\"", "name = bakers");
    let text = edit(&text, "weight = 4.0", "weight 4.0");
    let Problems(problems) = Document::parse(&text).expect_err("two faults");
    assert_eq!(problems.len(), 2, "{problems:#?}");
    assert!(problems.is_sorted_by_key(|problem| problem.line));
    assert!(problems.iter().all(|problem| problem.key == "(syntax)"));
}

/// Guards against a panic or silent defaults on texts that are not documents.
#[test]
fn other_texts() {
    for text in [
        "",
        "= 3",
        "[[[",
        "a = 1\na = 2",
        "environment = 3",
        "services = []",
        "\u{0}",
        "[services]\nx = {}",
    ] {
        let Err(Problems(problems)) = Document::parse(text) else {
            panic!("{text:?} was accepted");
        };
        assert!(!problems.is_empty(), "{text:?}");
        assert!(
            problems.iter().all(|problem| problem.line.is_some()),
            "{text:?}: {problems:#?}"
        );
    }
}
