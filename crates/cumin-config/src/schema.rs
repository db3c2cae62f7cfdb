//! JSON schemas of the document and the settings, for editors and for validation.

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

// TOML extensions of editors support draft 7. Inlined subschemas keep the bounds of a field next to
// its type, also where the type is a newtype of another crate.
fn generate<T: JsonSchema>() -> Value {
    let mut settings = SchemaSettings::draft07().for_deserialize();
    settings.inline_subschemas = true;
    let mut schema = settings
        .into_generator()
        .into_root_schema_for::<T>()
        .to_value();
    adapt_to_toml(&mut schema);
    schema
}

/// Removes the type `null`, which TOML doesn't have, and adds the pattern of names to tables.
fn adapt_to_toml(schema: &mut Value) {
    match schema {
        Value::Object(fields) => {
            if let Some(Value::Array(types)) = fields.get_mut("type") {
                types.retain(|kind| kind != "null");
                if let [single] = &types[..] {
                    let single = single.clone();
                    fields.insert("type".into(), single);
                }
            }
            if fields
                .get("additionalProperties")
                .is_some_and(Value::is_object)
            {
                fields.insert("propertyNames".into(), json!({"pattern": pattern::NAME}));
            }
            fields.values_mut().for_each(adapt_to_toml);
        }
        Value::Array(items) => items.iter_mut().for_each(adapt_to_toml),
        _ => {}
    }
}
