//! JSON schema of the document, for editors and for the check of shapes.

use std::sync::LazyLock;

use schemars::JsonSchema;
use schemars::generate::SchemaSettings;
use serde_json::{Value, json};

use crate::document::Document;
use crate::pattern;
use crate::settings::Settings;

pub(crate) static DOCUMENT: LazyLock<Value> = LazyLock::new(generate::<Document>);
pub(crate) static SETTINGS: LazyLock<Value> = LazyLock::new(generate::<Settings>);

/// Returns the JSON schema of the environment document.
#[must_use]
pub fn schema() -> Value {
    DOCUMENT.clone()
}

/// Returns the JSON schema of a node's settings.
#[must_use]
pub fn settings_schema() -> Value {
    SETTINGS.clone()
}

// Draft 7 is what editors' TOML extensions read. Inlined subschemas keep the bounds of a field
// next to its type, also where the type is a newtype of another crate.
fn generate<T: JsonSchema>() -> Value {
    let mut settings = SchemaSettings::draft07().for_deserialize();
    settings.inline_subschemas = true;
    let mut schema = settings
        .into_generator()
        .into_root_schema_for::<T>()
        .to_value();
    tidy(&mut schema);
    schema
}

/// Removes `null`, which TOML doesn't have, and states the form of names.
fn tidy(schema: &mut Value) {
    match schema {
        Value::Object(fields) => {
            if let Some(Value::Array(types)) = fields.get_mut("type") {
                types.retain(|kind| kind != "null");
                if let [only] = &types[..] {
                    let only = only.clone();
                    fields.insert("type".into(), only);
                }
            }
            if fields
                .get("additionalProperties")
                .is_some_and(Value::is_object)
            {
                fields.insert("propertyNames".into(), json!({"pattern": pattern::NAME}));
            }
            fields.values_mut().for_each(tidy);
        }
        Value::Array(items) => items.iter_mut().for_each(tidy),
        _ => {}
    }
}
