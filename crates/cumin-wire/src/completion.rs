//! The completion protocol that language-model clients speak.

use cumin_types::Outcome;
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::{Map, Value};

/// Body of `/v1/chat/completions` and `/v1/completions`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Request {
    /// The model asked for.
    pub model: String,
    /// Messages of a chat.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub messages: Option<Vec<Message>>,
    /// Prompt of a plain completion.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub prompt: Option<String>,
    /// True to receive server-sent events.
    pub stream: bool,
    /// The most tokens to generate.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u64>,
    /// Text and position to go on from; set by us, not by callers.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub resume: Option<Resume>,
    /// Options that we pass on unread.
    #[serde(flatten)]
    pub rest: Map<String, Value>,
}

/// One message of a chat.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// `system`, `user` or `assistant`.
    pub role: String,
    /// Text of the message; of a list of parts, the text of those that have one.
    #[serde(default, deserialize_with = "content")]
    pub content: String,
}

/// Content as clients send it.
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

/// Where an engine goes on with an answer that another one began.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resume {
    /// The text generated so far.
    pub text: String,
    /// The number of tokens in it.
    pub position: u64,
}

impl Request {
    /// Returns everything that the engine prefills before the answer, roles included.
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

/// One event of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The request's or attempt's identifier.
    pub id: String,
    /// `chat.completion.chunk` or `text_completion`.
    pub object: String,
    /// The model that answers.
    pub model: String,
    /// One choice.
    pub choices: Vec<ChunkChoice>,
    /// The attempt that made it; engines echo it, callers do not see it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub attempt: Option<String>,
    /// Counts, on the last chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// The choice of a chunk: `delta` for chats, `text` for plain completions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkChoice {
    /// Always 0.
    pub index: u32,
    /// New text of a chat.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delta: Option<Delta>,
    /// New text of a plain completion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
    /// `stop` or `length` on the last chunk.
    pub finish_reason: Option<String>,
}

/// New text of a chat.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// `assistant`, on the first chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
    /// The text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// Token counts of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens generated.
    pub completion_tokens: u64,
    /// Tokens of both.
    #[serde(default)]
    pub total_tokens: u64,
    /// Tokens of the prompt that the prefix cache held.
    #[serde(default)]
    pub cached_tokens: u64,
}

impl Chunk {
    /// Makes a chunk with `text` in the place that the protocol gives it.
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

    /// Returns the new text, empty when there is none.
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

    /// Returns why the answer ended, when it did.
    #[must_use]
    pub fn finish(&self) -> Option<&str> {
        self.choices
            .first()
            .and_then(|choice| choice.finish_reason.as_deref())
    }
}

/// A whole answer, when the caller does not stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The request's identifier.
    pub id: String,
    /// `chat.completion` or `text_completion`.
    pub object: String,
    /// The model that answered.
    pub model: String,
    /// One choice.
    pub choices: Vec<AnswerChoice>,
    /// Token counts.
    pub usage: Usage,
}

/// The choice of an answer: `message` for chats, `text` for plain completions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerChoice {
    /// Always 0.
    pub index: u32,
    /// The answer of a chat.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub message: Option<Message>,
    /// The answer of a plain completion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
    /// `stop` or `length`.
    pub finish_reason: Option<String>,
}

/// Body of an answer that reports an error, in the shape that clients know.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorDetail,
}

/// What went wrong and what became of the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// A sentence for people.
    pub message: String,
    /// Group of errors, such as `invalid_request_error`.
    #[serde(rename = "type")]
    pub kind: String,
    /// The error, for programs.
    pub code: String,
    /// How the request ended.
    pub outcome: Outcome,
}

/// One entry of `GET /v1/models`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelEntry {
    /// The model's name.
    pub id: String,
    /// Always `model`.
    pub object: String,
    /// The service that answers for it.
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
