//! One attempt: waits for a slot, prefills and generates, subject to the active faults.

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::Instant;
use bytes::Bytes;
use cumin_types::Priority;
use cumin_wire::completion::{Chunk, Usage};
use cumin_wire::engine::{BLOCK_TOKENS, BlockChain, tokens};
use cumin_wire::sse;
use tokio::sync::Notify;

use super::batch::Ticket;
use super::text::TokenScript;
use super::{Cross, Shared};

/// Placeholder for the token while the fixed parts of an event are encoded; JSON escapes it.
const TOKEN_MARK: &str = "\u{1}";

/// Interval at which a stalled attempt checks whether its fault was removed.
const STALL_POLL_PERIOD: Duration = Duration::from_millis(5);

/// State of a running attempt that other calls share.
#[derive(Default)]
pub struct Attempt {
    cancelled: Cell<bool>,
    wake: Notify,
    /// Hashes of the blocks of prompt and answer so far.
    pub blocks: RefCell<Vec<u64>>,
}

impl Attempt {
    /// Ends the attempt before its next token.
    pub fn cancel(&self) {
        self.cancelled.set(true);
        self.wake.notify_one();
    }

    async fn wait_cancelled(&self) {
        while !self.cancelled.get() {
            self.wake.notified().await;
        }
    }
}

/// Parameters of an attempt.
pub struct Task {
    /// Attempt id.
    pub id: String,
    /// Requested model.
    pub model: String,
    /// True for chat completions, which have another form of chunk.
    pub chat: bool,
    /// Prompt text, without the resumed part of the answer.
    pub prompt: String,
    /// Text of the answer to continue from, with its number of tokens.
    pub resume: Option<(String, u64)>,
    /// Number of tokens in the whole answer.
    pub max_tokens: u64,
    /// Finish reason of the whole answer.
    pub finish_reason: &'static str,
    /// Priority in the queue.
    pub priority: Priority,
}

/// Part of an answer.
pub enum Part {
    /// Index of the first token, and the new tokens.
    Tokens(u64, Vec<String>),
    /// End of the answer, with the finish reason.
    End(&'static str, Usage),
    /// The connection breaks.
    Disconnect,
}

/// A running attempt. Dropping it frees its slot.
pub struct Generation {
    shared: Rc<Shared>,
    attempt: Rc<Attempt>,
    ticket: Ticket,
    /// Parameters of the attempt.
    pub task: Task,
    script: TokenScript,
    chain: BlockChain,
    /// Tokens of prompt and resumed text.
    input_tokens: u64,
    prompt_tokens: u64,
    cached_tokens: u64,
    started: bool,
    position: u64,
    sent: u64,
    next: Instant,
}

impl Generation {
    /// Registers the attempt and enqueues it.
    pub fn new(shared: Rc<Shared>, task: Task) -> Self {
        let mut chain = BlockChain::new(&task.model);
        let mut blocks = Vec::new();
        let (text, position) = task.resume.clone().unwrap_or_default();
        let mut prompt_tokens = 0;
        for token in tokens(&task.prompt) {
            blocks.extend(chain.push(token));
            prompt_tokens += 1;
        }
        let mut input_tokens = prompt_tokens;
        for token in tokens(&text) {
            blocks.extend(chain.push(token));
            input_tokens += 1;
        }
        let cached = (shared.cache.borrow().cached_prefix(&blocks) * BLOCK_TOKENS) as u64;
        let ticket = shared.batch.enqueue(task.priority, input_tokens - cached);
        let attempt = Rc::new(Attempt::default());
        attempt.blocks.replace(blocks);
        let known = Rc::clone(&attempt);
        shared.attempts.borrow_mut().insert(task.id.clone(), known);
        shared.stats.borrow_mut().attempts += 1;
        Self {
            script: TokenScript::new(&task.prompt),
            shared,
            attempt,
            ticket,
            task,
            chain,
            input_tokens,
            prompt_tokens,
            cached_tokens: 0,
            started: false,
            position,
            sent: 0,
            next: Instant::now(),
        }
    }

    /// Returns the next part; `End` and `Disconnect` are the last.
    pub async fn next(&mut self) -> Part {
        let attempt = Rc::clone(&self.attempt);
        tokio::select! {
            biased;
            () = attempt.wait_cancelled() => Part::End("cancelled", self.usage()),
            part = self.advance() => part,
        }
    }

    async fn advance(&mut self) -> Part {
        if !self.started {
            self.start().await;
        }
        loop {
            let cut = self
                .shared
                .faults
                .borrow()
                .cut
                .filter(|cut| cut.after <= self.sent);
            if let Some(cut) = cut {
                if cut.once {
                    self.shared.faults.borrow_mut().cut = None;
                }
                // The HTTP dispatcher flushes buffered data only while the body is pending, so the tokens
                // before the cut need this delay to be sent.
                actix_rt::time::sleep(Duration::from_millis(1)).await;
                return Part::Disconnect;
            }
            if self.position >= self.task.max_tokens {
                return Part::End(self.task.finish_reason, self.usage());
            }
            let stall_after = self.shared.faults.borrow().stall_after;
            if stall_after.is_some_and(|count| count <= self.sent) {
                // A test can remove the fault; the remaining events are then sent late.
                actix_rt::time::sleep(STALL_POLL_PERIOD).await;
                continue;
            }
            let tokens = self.generate_due();
            if !tokens.is_empty() {
                let from = self.position - tokens.len() as u64;
                return Part::Tokens(from, tokens);
            }
            actix_rt::time::sleep_until(self.next).await;
        }
    }

    /// Waits for a slot and prefills what the cache does not hold.
    async fn start(&mut self) {
        self.ticket.wait_slot().await;
        let blocks = self.attempt.blocks.borrow().clone();
        let cached = self.shared.cache.borrow().cached_prefix(&blocks) * BLOCK_TOKENS;
        self.cached_tokens = cached as u64;
        let uncached = self.input_tokens - self.cached_tokens;
        let pace = self.shared.scale_delay(self.shared.options.prefill_delay);
        let time = pace.saturating_mul(u32::try_from(uncached).unwrap_or(u32::MAX));
        self.ticket.prefill(uncached, time).await;
        {
            let mut stats = self.shared.stats.borrow_mut();
            stats.prefilled += uncached;
            if self.task.resume.is_some() {
                stats.recomputed += uncached;
            }
        }
        self.shared.add_blocks(&blocks);
        self.started = true;
        self.next = Instant::now() + self.shared.scale_delay(self.shared.options.token_delay);
    }

    /// Generates the tokens that are due, at most as many as fit in one write.
    fn generate_due(&mut self) -> Vec<String> {
        let pace = self.shared.scale_delay(self.shared.options.token_delay);
        let faults = self.shared.faults.borrow();
        let stops = [faults.stall_after, faults.cut.map(|cut| cut.after)];
        let limit = stops.into_iter().flatten().min().unwrap_or(u64::MAX);
        let limit = limit.saturating_sub(self.sent);
        drop(faults);
        let limit = limit
            .min(self.task.max_tokens - self.position)
            .min(self.shared.options.write_events as u64);
        let now = Instant::now();
        let mut generated = Vec::new();
        while (generated.len() as u64) < limit && (pace.is_zero() || self.next <= now) {
            let token = self.script.token(self.position);
            if let Some(hash) = self.chain.push(&token) {
                self.attempt.blocks.borrow_mut().push(hash);
                self.shared.add_blocks(&[hash]);
            }
            generated.push(token);
            self.position += 1;
            self.sent += 1;
            self.next += pace;
        }
        self.shared.stats.borrow_mut().generated += generated.len() as u64;
        generated
    }

    fn usage(&self) -> Usage {
        Usage {
            prompt_tokens: self.prompt_tokens,
            completion_tokens: self.position,
            total_tokens: self.prompt_tokens + self.position,
            cached_tokens: self.cached_tokens.min(self.prompt_tokens),
        }
    }
}

impl Drop for Generation {
    fn drop(&mut self) {
        let mut attempts = self.shared.attempts.borrow_mut();
        let own = attempts.get(&self.task.id);
        if own.is_some_and(|own| Rc::ptr_eq(own, &self.attempt)) {
            attempts.remove(&self.task.id);
        }
    }
}

/// Server-sent events of one attempt.
pub struct Events {
    generation: Generation,
    head: String,
    tail: String,
    ended: bool,
}

impl Events {
    /// Returns the events of what `generation` generates.
    pub fn new(generation: Generation) -> Self {
        let chunk = chunk(&generation.task, &generation.task.id, TOKEN_MARK);
        let text = serde_json::to_string(&chunk).expect("chunks have text keys");
        let mark = serde_json::to_string(TOKEN_MARK).expect("text");
        let (head, tail) = text.rsplit_once(&*mark).expect("the mark is in the chunk");
        let (head, tail) = (format!("{head}\""), format!("\"{tail}"));
        Self {
            generation,
            head,
            tail,
            ended: false,
        }
    }

    /// Returns the next bytes to write, or `None` after the end.
    pub async fn next(&mut self) -> Option<io::Result<Bytes>> {
        if self.ended {
            return None;
        }
        match self.generation.next().await {
            Part::Tokens(from, tokens) => Some(Ok(self.tokens(from, &tokens))),
            Part::End(reason, usage) => {
                self.ended = true;
                Some(Ok(self.end(reason, usage)))
            }
            Part::Disconnect => {
                self.ended = true;
                Some(Err(io::Error::other("stream cut by a fault")))
            }
        }
    }

    fn tokens(&self, from: u64, tokens: &[String]) -> Bytes {
        let (cross, duplicate) = {
            let faults = self.generation.shared.faults.borrow();
            (faults.cross, faults.duplicate)
        };
        let mut out = Vec::with_capacity(tokens.len() * (self.head.len() + self.tail.len() + 64));
        let mut data = String::new();
        for (position, token) in (from + 1..).zip(tokens) {
            if cross != Cross::Never {
                let other = self.crossed_event(position);
                sse::write(&mut out, Some(position), None, &other);
            }
            if cross == Cross::Replace {
                continue;
            }
            data.clear();
            // Tokens consist of letters, digits, hyphens and a space, which JSON does not escape.
            data.extend([self.head.as_str(), token, &self.tail]);
            for _ in 0..=u8::from(duplicate) {
                sse::write(&mut out, Some(position), None, &data);
            }
        }
        out.into()
    }

    /// Returns an event with another attempt's id and text at the same position.
    fn crossed_event(&self, position: u64) -> String {
        let task = &self.generation.task;
        let token = TokenScript::new("the prompt of another request").token(position - 1);
        let chunk = chunk(task, "00000000-0000-4000-8000-000000000000", &token);
        serde_json::to_string(&chunk).expect("chunks have text keys")
    }

    fn end(&self, reason: &str, usage: Usage) -> Bytes {
        let task = &self.generation.task;
        let mut chunk = chunk(task, &task.id, "");
        if let Some(choice) = chunk.choices.first_mut() {
            choice.finish_reason = Some(reason.into());
        }
        chunk.usage = Some(usage);
        let data = serde_json::to_string(&chunk).expect("chunks have text keys");
        let mut out = Vec::new();
        sse::write(&mut out, Some(usage.completion_tokens), None, &data);
        sse::write(&mut out, None, None, "[DONE]");
        out.into()
    }
}

fn chunk(task: &Task, attempt: &str, text: &str) -> Chunk {
    Chunk {
        attempt: Some(attempt.into()),
        ..Chunk::text(attempt, &task.model, task.chat, text)
    }
}
