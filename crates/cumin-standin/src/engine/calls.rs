//! HTTP calls of an engine.

use std::rc::Rc;
use std::time::Duration;

use actix_http::body::{BodyStream, MessageBody};
use actix_http::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use actix_http::{Response, StatusCode};
use cumin_types::Priority;
use cumin_wire::completion::{Answer as Completion, AnswerChoice, Message, Request, Resume};
use cumin_wire::engine::{
    BLOCK_TOKENS, Export, Exported, Import, Imported, Order, OrderCall, Served,
};
use cumin_wire::header;
use futures_util::stream;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use super::generate::{Events, Generation, Part, Task};
use super::text::TokenScript;
use super::{DEFAULT_TOKENS, Shared};
use crate::host::{self, Answer, Call, Reply};

/// A KV cache as one engine fetches it from another.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Kv {
    blocks: Vec<u64>,
}

impl Answer for Shared {
    async fn answer(self: Rc<Self>, call: Call) -> Reply {
        if self.faults.borrow().hang {
            return host::hang().await;
        }
        let mut reply = Rc::clone(&self).answer_call(call).await;
        if let Some(value) = self.faults.borrow().leaving {
            let name = HeaderName::from_static(header::LEAVING);
            let value = HeaderValue::from_static(value);
            reply.headers_mut().insert(name, value);
        }
        reply
    }
}

impl Shared {
    async fn answer_call(self: Rc<Self>, call: Call) -> Reply {
        let (method, parts) = call.route();
        match (method, parts.as_slice()) {
            ("POST", ["v1", "chat", "completions"]) => self.complete(&call, true).await,
            ("POST", ["v1", "completions"]) => self.complete(&call, false).await,
            ("DELETE", ["v1", "attempts", attempt]) => self.cancel(attempt),
            ("POST", ["v1", "kv", "export"]) => match call.json() {
                Ok(export) => self.export(&export),
                Err(reply) => reply,
            },
            ("GET", ["v1", "kv", handle]) => self.fetch(handle),
            ("POST", ["v1", "kv", "import"]) => match call.json() {
                Ok(import) => self.import(&import).await,
                Err(reply) => reply,
            },
            ("GET", ["v1", "load"]) => {
                let false_load = self.faults.borrow().false_load;
                let load = false_load.unwrap_or_else(|| self.batch.load());
                host::json(StatusCode::OK, &load)
            }
            ("GET", ["v1", "cache", "events"]) => {
                let after = call.query_number("after").unwrap_or(0);
                let events = self.cache.borrow().events(after, self.options.event_lag);
                host::json(StatusCode::OK, &events)
            }
            ("GET", ["v1", "cache"]) => host::json(StatusCode::OK, &self.cache.borrow().list()),
            ("GET", ["v1", "orders"]) => host::json(StatusCode::OK, &*self.served.borrow()),
            ("POST", ["v1", "orders"]) => self.order(&call).await,
            ("GET", ["health"]) => host::json(StatusCode::OK, &serde_json::json!({"status": "ok"})),
            _ => host::not_found(&call),
        }
    }

    async fn complete(self: &Rc<Self>, call: &Call, chat: bool) -> Reply {
        let request: Request = match call.json() {
            Ok(request) => request,
            Err(reply) => return reply,
        };
        let prompt = request.prompt_text();
        let poison = self.faults.borrow().poison.clone();
        if poison.is_some_and(|word| prompt.contains(&word)) {
            self.stats.borrow_mut().attempts += 1;
            return self.crash_handle.crash().await;
        }
        let streams = request.stream;
        let task = match self.prepare(call, request, prompt, chat) {
            Ok(task) => task,
            Err(reply) => {
                self.stats.borrow_mut().refused += 1;
                return reply;
            }
        };
        let id = task.id.clone();
        let generation = Generation::new(Rc::clone(self), task);
        let mut reply = if streams {
            stream_reply(generation)
        } else {
            whole_reply(generation, chat).await
        };
        if let Ok(id) = HeaderValue::from_str(&id) {
            let name = HeaderName::from_static(header::ATTEMPT_ID);
            reply.headers_mut().insert(name, id);
        }
        reply
    }

    /// Validates an attempt before any of it runs; a failure is the answer to send.
    fn prepare(
        &self,
        call: &Call,
        request: Request,
        prompt: String,
        chat: bool,
    ) -> Result<Task, Reply> {
        let full = self.batch.is_full(self.options.queue_limit);
        if full || self.faults.borrow().refuse {
            let message = "the engine accepts no attempts at present";
            return Err(host::refuse(
                StatusCode::SERVICE_UNAVAILABLE,
                "overloaded",
                message,
            ));
        }
        let model = self.served.borrow().model.clone();
        if !model.is_empty() && model != request.model {
            let message = format!(
                "model {:?} is not served; the engine serves {model:?}",
                request.model
            );
            return Err(host::refuse(
                StatusCode::NOT_FOUND,
                "model_not_found",
                &message,
            ));
        }
        let id = call.header(header::ATTEMPT_ID);
        let id = id.map_or_else(|| Uuid::new_v4().to_string(), str::to_string);
        if self.attempts.borrow().contains_key(&id) {
            let message = format!("attempt {id} already runs");
            return Err(host::refuse(
                StatusCode::CONFLICT,
                "attempt_exists",
                &message,
            ));
        }
        let max = request.max_tokens.unwrap_or(DEFAULT_TOKENS);
        let resume = request.resume.filter(|resume| *resume != Resume::default());
        if let Some(resume) = &resume
            && (resume.position > max
                || !TokenScript::new(&prompt).starts_with(&resume.text, resume.position))
        {
            self.stats.borrow_mut().mismatches += 1;
            let message = format!(
                "resume.text is not the first {} tokens of this answer of {max}",
                resume.position
            );
            return Err(host::refuse(
                StatusCode::BAD_REQUEST,
                "resume_mismatch",
                &message,
            ));
        }
        Ok(Task {
            id,
            model: request.model,
            chat,
            prompt,
            resume: resume.map(|resume| (resume.text, resume.position)),
            max_tokens: max,
            finish_reason: if request.max_tokens.is_some() {
                "length"
            } else {
                "stop"
            },
            priority: priority(call),
        })
    }

    fn cancel(&self, attempt: &str) -> Reply {
        let Some(running) = self.attempts.borrow().get(attempt).cloned() else {
            let message = format!("attempt {attempt:?} does not run");
            return host::refuse(StatusCode::NOT_FOUND, "no_attempt", &message);
        };
        self.stats.borrow_mut().cancels += 1;
        running.cancel();
        host::json(StatusCode::OK, &serde_json::json!({"cancelled": attempt}))
    }

    fn export(&self, export: &Export) -> Reply {
        let Some(running) = self.attempts.borrow().get(&export.attempt).cloned() else {
            let message = format!("attempt {:?} does not run", export.attempt);
            return host::refuse(StatusCode::NOT_FOUND, "no_attempt", &message);
        };
        let blocks = running.blocks.borrow().clone();
        // The blocks of an attempt that still waits for its prefill are not computed yet.
        let cached = self.cache.borrow().cached_prefix(&blocks);
        let blocks = blocks[..cached].to_vec();
        let tokens = (blocks.len() * BLOCK_TOKENS) as u64;
        let handle = Uuid::new_v4().to_string();
        self.exports.borrow_mut().insert(handle.clone(), blocks);
        self.stats.borrow_mut().exports += 1;
        let exported = Exported {
            handle,
            tokens,
            bytes: tokens * self.options.token_bytes,
        };
        host::json(StatusCode::OK, &exported)
    }

    fn fetch(&self, handle: &str) -> Reply {
        let Some(blocks) = self.exports.borrow().get(handle).cloned() else {
            let message = format!("handle {handle:?} does not exist");
            return host::refuse(StatusCode::NOT_FOUND, "no_handle", &message);
        };
        host::json(StatusCode::OK, &Kv { blocks })
    }

    async fn import(&self, import: &Import) -> Reply {
        let kv = match fetch_kv(import).await {
            Ok(kv) => kv,
            Err(error) => {
                let message = format!("handle {:?} of {}: {error}", import.handle, import.from);
                return host::refuse(StatusCode::BAD_GATEWAY, "import_failed", &message);
            }
        };
        let tokens = (kv.blocks.len() * BLOCK_TOKENS) as u64;
        let bytes = tokens * self.options.token_bytes;
        let micros = bytes
            .saturating_mul(1_000_000)
            .checked_div(self.options.import_bandwidth);
        let time = Duration::from_micros(micros.unwrap_or(0));
        host::delay(self.scale_delay(time)).await;
        self.add_blocks(&kv.blocks);
        let mut stats = self.stats.borrow_mut();
        stats.imports += 1;
        stats.imported_bytes += bytes;
        host::json(StatusCode::OK, &Imported { tokens })
    }

    async fn order(&self, call: &Call) -> Reply {
        if let Some(key) = &self.options.order_key
            && call.header("authorization") != Some(&*format!("Bearer {key}"))
        {
            self.stats.borrow_mut().unauthorised += 1;
            let message = "orders need the order key";
            return host::refuse(StatusCode::UNAUTHORIZED, "unauthorised", message);
        }
        let order: OrderCall = match call.json() {
            Ok(order) => order,
            Err(reply) => return reply,
        };
        let fence = (order.token, order.generation);
        if fence < self.highest_fence.get() {
            self.stats.borrow_mut().stale_orders += 1;
            if self.options.check_tokens {
                return host::json(StatusCode::CONFLICT, &*self.served.borrow());
            }
        }
        self.highest_fence.set(self.highest_fence.get().max(fence));
        host::delay(self.scale_delay(self.options.order_delay)).await;
        let mut served = self.served.borrow_mut();
        apply_order(&mut served, order);
        self.stats.borrow_mut().orders += 1;
        host::json(StatusCode::OK, &*served)
    }
}

fn apply_order(served: &mut Served, call: OrderCall) {
    served.generation = served.generation.max(call.generation);
    match call.order {
        Order::Load { model, version } => {
            served.model = model;
            served.version = version;
        }
        Order::Adapter(adapter) => {
            if !served.adapters.contains(&adapter) {
                served.adapters.push(adapter);
            }
        }
        Order::Role(role) => served.role = role,
    }
}

fn priority(call: &Call) -> Priority {
    match call.header(header::PRIORITY) {
        Some("live") => Priority::Live,
        Some("batch") => Priority::Batch,
        _ => Priority::Normal,
    }
}

fn stream_reply(generation: Generation) -> Reply {
    let events = Events::new(generation);
    let body = stream::unfold(events, |mut events| async move {
        events.next().await.map(|write| (write, events))
    });
    let mut reply = Response::ok().set_body(BodyStream::new(Box::pin(body)).boxed());
    let media = HeaderValue::from_static("text/event-stream");
    reply.headers_mut().insert(CONTENT_TYPE, media);
    reply
}

async fn whole_reply(mut generation: Generation, chat: bool) -> Reply {
    let mut text = String::new();
    let (reason, usage) = loop {
        match generation.next().await {
            Part::Tokens(_, tokens) => text.extend(tokens),
            Part::End(reason, usage) => break (reason, usage),
            Part::Disconnect => return host::lose_answer(),
        }
    };
    let (message, plain) = if chat {
        let role = "assistant".into();
        let message = Message {
            role,
            content: text,
        };
        (Some(message), None)
    } else {
        (None, Some(text))
    };
    let task = &generation.task;
    let object = if chat {
        "chat.completion"
    } else {
        "text_completion"
    };
    let answer = Completion {
        id: task.id.clone(),
        object: object.into(),
        model: task.model.clone(),
        choices: vec![AnswerChoice {
            index: 0,
            message,
            text: plain,
            finish_reason: Some(reason.into()),
        }],
        usage,
    };
    host::json(StatusCode::OK, &answer)
}

async fn fetch_kv(import: &Import) -> Result<Kv, String> {
    let url = format!("{}/v1/kv/{}", import.from, import.handle);
    let client = awc::Client::builder()
        .timeout(Duration::from_secs(30))
        .finish();
    let sent = client.get(url).send().await;
    let mut answer = sent.map_err(|error| error.to_string())?;
    if answer.status() != StatusCode::OK {
        return Err(format!("status {}", answer.status()));
    }
    let body = answer.body().limit(16 << 20).await;
    let body = body.map_err(|error| error.to_string())?;
    serde_json::from_slice(&body).map_err(|error| error.to_string())
}
