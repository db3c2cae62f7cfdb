//! The completion protocol of language-model clients.

use cumin_types::Outcome;
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::{Map, Value};

/// Body of `/v1/chat/completions` and `/v1/completions`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Request {
    /// Name of the requested model.
    pub model: String,
    /// Messages of a chat completion.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub messages: Option<Vec<Message>>,
    /// Prompt of a text completion.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub prompt: Option<String>,
    /// True to receive the answer as server-sent events.
    pub stream: bool,
    /// Maximum number of tokens to generate.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u64>,
    /// Text and position to continue from; set by the entry, not by callers.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub resume: Option<Resume>,
    /// Options that are passed on to the engine unread.
    #[serde(flatten)]
    pub rest: Map<String, Value>,
}

/// One message of a chat.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// `system`, `user` or `assistant`.
    pub role: String,
    /// Text of the message; for a list of parts, their texts joined.
    #[serde(default, deserialize_with = "content")]
    pub content: String,
}

/// The forms of message content that clients send.
#[derive(Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Parts(Vec<Part>),
    Absent(()),
}

#[derive(Deserialize)]
struct Part {
    #[serde(default)]
    text: String,
}

fn content<'de, D: Deserializer<'de>>(deserializer: D) -> Result<String, D::Error> {
    Ok(match Content::deserialize(deserializer)? {
        Content::Text(text) => text,
        Content::Parts(parts) => parts.into_iter().map(|part| part.text).collect(),
        Content::Absent(()) => String::new(),
    })
}

/// Point from which an engine continues an answer that another engine began.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resume {
    /// The text generated so far.
    pub text: String,
    /// Number of tokens in `text`.
    pub position: u64,
}

impl Request {
    /// Returns the text that the engine prefills before it answers, including message roles.
    #[must_use]
    pub fn prompt_text(&self) -> String {
        if let Some(prompt) = &self.prompt {
            return prompt.clone();
        }
        let mut text = String::new();
        for message in self.messages.iter().flatten() {
            text.push_str(&message.role);
            text.push_str(": ");
            text.push_str(&message.content);
            text.push('\n');
        }
        text
    }
}

/// One event of a streamed answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Identifier of the request or attempt.
    pub id: String,
    /// `chat.completion.chunk` or `text_completion`.
    pub object: String,
    /// Name of the model that answers.
    pub model: String,
    /// Exactly one choice.
    pub choices: Vec<ChunkChoice>,
    /// Attempt that produced the chunk; engines echo it, callers do not receive it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub attempt: Option<String>,
    /// Token counts, on the last chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// The choice of a chunk, with `delta` for chat completions and `text` for text completions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkChoice {
    /// Always 0.
    pub index: u32,
    /// New text of a chat completion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delta: Option<Delta>,
    /// New text of a text completion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
    /// `stop` or `length` on the last chunk.
    pub finish_reason: Option<String>,
}

/// New text of a chat completion.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// `assistant` on the first chunk, absent on the others.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
    /// The new text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// Token counts of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of generated tokens.
    pub completion_tokens: u64,
    /// Sum of prompt and generated tokens.
    #[serde(default)]
    pub total_tokens: u64,
    /// Number of prompt tokens found in the prefix cache.
    #[serde(default)]
    pub cached_tokens: u64,
}

impl Chunk {
    /// Creates a chunk with `text` in the field that the protocol uses for this kind of completion.
    #[must_use]
    pub fn text(id: &str, model: &str, chat: bool, text: &str) -> Self {
        let choice = if chat {
            ChunkChoice {
                delta: Some(Delta {
                    content: Some(text.into()),
                    ..Delta::default()
                }),
                ..ChunkChoice::default()
            }
        } else {
            ChunkChoice {
                text: Some(text.into()),
                ..ChunkChoice::default()
            }
        };
        let object = if chat {
            "chat.completion.chunk"
        } else {
            "text_completion"
        };
        Self {
            id: id.into(),
            object: object.into(),
            model: model.into(),
            choices: vec![choice],
            attempt: None,
            usage: None,
        }
    }

    /// Returns the new text, or an empty string if there is none.
    #[must_use]
    pub fn content(&self) -> &str {
        let Some(choice) = self.choices.first() else {
            return "";
        };
        let chat = choice
            .delta
            .as_ref()
            .and_then(|delta| delta.content.as_deref());
        chat.or(choice.text.as_deref()).unwrap_or("")
    }

    /// Returns the finish reason, if the answer ended with this chunk.
    #[must_use]
    pub fn finish(&self) -> Option<&str> {
        self.choices
            .first()
            .and_then(|choice| choice.finish_reason.as_deref())
    }
}

/// A complete answer, sent to callers that do not stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Identifier of the request.
    pub id: String,
    /// `chat.completion` or `text_completion`.
    pub object: String,
    /// Name of the model that answered.
    pub model: String,
    /// Exactly one choice.
    pub choices: Vec<AnswerChoice>,
    /// Token counts.
    pub usage: Usage,
}

/// The choice of an answer, with `message` for chat completions and `text` for text completions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerChoice {
    /// Always 0.
    pub index: u32,
    /// Answer of a chat completion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub message: Option<Message>,
    /// Answer of a text completion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
    /// `stop` or `length`.
    pub finish_reason: Option<String>,
}

/// Body of an error response, in the format that clients expect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorDetail,
}

/// Description of an error and the outcome of the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Human-readable message.
    pub message: String,
    /// Category of the error, such as `invalid_request_error`.
    #[serde(rename = "type")]
    pub kind: String,
    /// Machine-readable error code.
    pub code: String,
    /// How the request ended.
    pub outcome: Outcome,
}

/// One entry of `GET /v1/models`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelEntry {
    /// Name of the model.
    pub id: String,
    /// Always `model`.
    pub object: String,
    /// Service that serves the model.
    pub owned_by: String,
}

/// Body of `GET /v1/models`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelList {
    /// Always `list`.
    pub object: String,
    /// The models.
    pub data: Vec<ModelEntry>,
}
