use crate::{BAKERS, BAKERS_TRIAL, JUDGES, JUDGES_TRIAL, parse_valid};
use serde_json::Value;

/// Guards against a committed schema, which editors use, that differs from the checks.
#[test]
fn committed_schema_is_current() {
    let text = include_str!("../../../../examples/environment.schema.json");
    let committed: Value = serde_json::from_str(text).expect("JSON");
    assert_eq!(
        committed,
        cumin_config::schema(),
        "run: cargo run -p cumin-config --example schema > examples/environment.schema.json"
    );
}

/// Guards against a keyword in the schema that the checks don't implement.
#[test]
fn schema_has_known_keywords() {
    fn walk(schema: &Value, unknown: &mut Vec<String>) {
        #[rustfmt::skip]
        const KNOWN: [&str; 17] = [
            "$schema", "title", "description", "type", "required", "propertyNames", "default",
            "minProperties", "minItems", "uniqueItems", "pattern", "minLength", "minimum",
            "maximum", "format", "enum", "const",
        ];
        let Some(fields) = schema.as_object() else {
            return;
        };
        for (key, value) in fields {
            match (key.as_str(), value) {
                ("properties", Value::Object(inner)) => {
                    for value in inner.values() {
                        walk(value, unknown);
                    }
                }
                ("oneOf", Value::Array(inner)) => {
                    for value in inner {
                        walk(value, unknown);
                    }
                }
                ("items" | "additionalProperties", value) => walk(value, unknown),
                (key, _) if KNOWN.contains(&key) => {}
                (key, _) => unknown.push(key.into()),
            }
        }
    }
    let mut unknown = Vec::new();
    walk(&cumin_config::schema(), &mut unknown);
    walk(&cumin_config::settings_schema(), &mut unknown);
    assert_eq!(unknown, Vec::<String>::new());
}

/// Guards against examples that no longer parse or that contain the weights of another operator.
#[test]
fn examples_are_complete() {
    for (text, workers, cheap) in [(BAKERS, 10, true), (JUDGES, 20, false)] {
        let doc = parse_valid(text);
        let counts: Vec<u64> = doc
            .services
            .values()
            .map(cumin_config::ServiceSpec::worker_count)
            .collect();
        assert_eq!(counts, [workers, 3]);
        assert_eq!(doc.organisations.len(), 5);
        assert_eq!(doc.entry.nodes.values().sum::<u32>(), 4);
        assert_eq!(doc.objective.cost > doc.objective.recompute, cheap);
    }
    for text in [BAKERS_TRIAL, JUDGES_TRIAL] {
        parse_valid(text);
    }
}
