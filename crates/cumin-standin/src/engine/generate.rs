//! One attempt: wait for a slot, prefill, generate, with the faults that apply.

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
use super::text::Script;
use super::{Cross, Shared};

/// Stands for a token while the fixed parts of an event are written; JSON escapes it.
const MARK: &str = "\u{1}";

/// Time from one look at a stalled attempt's fault to the next.
const STALL_CHECK: Duration = Duration::from_millis(5);

/// What other calls may know and do of a running attempt.
#[derive(Default)]
pub struct Attempt {
    cancelled: Cell<bool>,
    wake: Notify,
    /// Hashes of the blocks computed so far, prompt and answer.
    pub blocks: RefCell<Vec<u64>>,
}

impl Attempt {
    /// Ends the attempt at its next token.
    pub fn cancel(&self) {
        self.cancelled.set(true);
        self.wake.notify_one();
    }

    async fn cancelled(&self) {
        while !self.cancelled.get() {
            self.wake.notified().await;
        }
    }
}

/// What an attempt is to do.
pub struct Task {
    /// The attempt's identifier.
    pub id: String,
    /// The model asked for.
    pub model: String,
    /// True for the chat form of chunks.
    pub chat: bool,
    /// Everything to prefill before the answer.
    pub prompt: String,
    /// Text to go on after, with its number of tokens.
    pub resume: Option<(String, u64)>,
    /// Tokens of the whole answer.
    pub max: u64,
    /// Why the whole answer ends.
    pub finish: &'static str,
    /// Urgency.
    pub priority: Priority,
}

/// Part of an answer.
pub enum Part {
    /// New tokens, from a position on.
    Tokens(u64, Vec<String>),
    /// The end, and why.
    End(&'static str, Usage),
    /// The connection breaks.
    Broken,
}

/// A running attempt. Dropping it frees its slot.
pub struct Generation {
    shared: Rc<Shared>,
    attempt: Rc<Attempt>,
    ticket: Ticket,
    /// What it is to do.
    pub task: Task,
    script: Script,
    chain: BlockChain,
    work: u64,
    prompt_tokens: u64,
    cached: u64,
    begun: bool,
    position: u64,
    sent: u64,
    next: Instant,
}

impl Generation {
    /// Enters the attempt in the queue.
    pub fn new(shared: Rc<Shared>, task: Task) -> Self {
        let mut chain = BlockChain::new(&task.model);
        let mut blocks = Vec::new();
        let (text, position) = task.resume.clone().unwrap_or_default();
        let mut prompt_tokens = 0;
        for token in tokens(&task.prompt) {
            blocks.extend(chain.push(token));
            prompt_tokens += 1;
        }
        let mut work = prompt_tokens;
        for token in tokens(&text) {
            blocks.extend(chain.push(token));
            work += 1;
        }
        let cached = (shared.cache.borrow().prefix(&blocks) * BLOCK_TOKENS) as u64;
        let ticket = shared.batch.enter(task.priority, work - cached);
        let attempt = Rc::new(Attempt::default());
        attempt.blocks.replace(blocks);
        let known = Rc::clone(&attempt);
        shared.attempts.borrow_mut().insert(task.id.clone(), known);
        shared.stats.borrow_mut().attempts += 1;
        Self {
            script: Script::new(&task.prompt),
            shared,
            attempt,
            ticket,
            task,
            chain,
            work,
            prompt_tokens,
            cached: 0,
            begun: false,
            position,
            sent: 0,
            next: Instant::now(),
        }
    }

    /// Returns the next part; nothing follows an end or a break.
    pub async fn next(&mut self) -> Part {
        let attempt = Rc::clone(&self.attempt);
        tokio::select! {
            biased;
            () = attempt.cancelled() => Part::End("cancelled", self.usage()),
            part = self.advance() => part,
        }
    }

    async fn advance(&mut self) -> Part {
        if !self.begun {
            self.begin().await;
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
                // The dispatcher flushes what it has only while the body has nothing to give.
                actix_rt::time::sleep(Duration::from_millis(1)).await;
                return Part::Broken;
            }
            if self.position >= self.task.max {
                return Part::End(self.task.finish, self.usage());
            }
            let stall = self.shared.faults.borrow().stall;
            if stall.is_some_and(|stall| stall <= self.sent) {
                // A test can lift the stall, and the events come late.
                actix_rt::time::sleep(STALL_CHECK).await;
                continue;
            }
            let tokens = self.due();
            if !tokens.is_empty() {
                let from = self.position - tokens.len() as u64;
                return Part::Tokens(from, tokens);
            }
            actix_rt::time::sleep_until(self.next).await;
        }
    }

    async fn begin(&mut self) {
        self.ticket.slot().await;
        let blocks = self.attempt.blocks.borrow().clone();
        let cached = self.shared.cache.borrow().prefix(&blocks) * BLOCK_TOKENS;
        self.cached = cached as u64;
        let uncached = self.work - self.cached;
        let pace = self.shared.pace(self.shared.options.prefill_delay);
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
        self.begun = true;
        self.next = Instant::now() + self.shared.pace(self.shared.options.token_delay);
    }

    /// Generates the tokens that are due, at most those of one write.
    fn due(&mut self) -> Vec<String> {
        let pace = self.shared.pace(self.shared.options.token_delay);
        let faults = self.shared.faults.borrow();
        let stops = [faults.stall, faults.cut.map(|cut| cut.after)];
        let limit = stops.into_iter().flatten().min().unwrap_or(u64::MAX);
        let limit = limit.saturating_sub(self.sent);
        drop(faults);
        let limit = limit
            .min(self.task.max - self.position)
            .min(self.shared.options.events as u64);
        let now = Instant::now();
        let mut made = Vec::new();
        while (made.len() as u64) < limit && (pace.is_zero() || self.next <= now) {
            let token = self.script.token(self.position);
            if let Some(hash) = self.chain.push(&token) {
                self.attempt.blocks.borrow_mut().push(hash);
                self.shared.add_blocks(&[hash]);
            }
            made.push(token);
            self.position += 1;
            self.sent += 1;
            self.next += pace;
        }
        self.shared.stats.borrow_mut().generated += made.len() as u64;
        made
    }

    fn usage(&self) -> Usage {
        Usage {
            prompt_tokens: self.prompt_tokens,
            completion_tokens: self.position,
            total_tokens: self.prompt_tokens + self.position,
            cached_tokens: self.cached.min(self.prompt_tokens),
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

/// The events of one attempt's stream.
pub struct Events {
    generation: Generation,
    head: String,
    tail: String,
    ended: bool,
}

impl Events {
    /// Writes what `generation` generates as server-sent events.
    pub fn new(generation: Generation) -> Self {
        let chunk = chunk(&generation.task, &generation.task.id, MARK);
        let text = serde_json::to_string(&chunk).expect("chunks have text keys");
        let mark = serde_json::to_string(MARK).expect("text");
        let (head, tail) = text.rsplit_once(&*mark).expect("the mark is in the chunk");
        let (head, tail) = (format!("{head}\""), format!("\"{tail}"));
        Self {
            generation,
            head,
            tail,
            ended: false,
        }
    }

    /// Returns the next write, `None` after the last.
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
            Part::Broken => {
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
                let other = self.crossed(position);
                sse::write(&mut out, Some(position), None, &other);
            }
            if cross == Cross::Replace {
                continue;
            }
            data.clear();
            // Tokens are plain letters, digits and spaces: nothing to escape.
            data.extend([self.head.as_str(), token, &self.tail]);
            for _ in 0..=u8::from(duplicate) {
                sse::write(&mut out, Some(position), None, &data);
            }
        }
        out.into()
    }

    /// Returns an event of another request's answer at the same position.
    fn crossed(&self, position: u64) -> String {
        let task = &self.generation.task;
        let token = Script::new("the prompt of another request").token(position - 1);
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
