//! Delivery of responses to callers, and resumption of interrupted streams.

use bytes::Bytes;

use crate::answer;
use crate::answer::BodySender;
use crate::attempt::Failure;
use crate::attempt::OpenStream;
use crate::attempt::Opened;
use crate::attempt::within;
use crate::chart::RequestEvent;
use crate::code::ResultCode;
use crate::dispatcher::Attempt;
use crate::job::Job;
use crate::job::RequestBody;
use crate::openai;
use crate::openai::Refusal;
use crate::policy::Ending;
use crate::server;
use crate::server::Response;
use crate::sse;
use crate::upstream::Answer;
use crate::upstream::CollectedBody;

impl Job {
    /// Returns the response to a request that is not streamed, and records its completion.
    pub(crate) fn deliver_buffered(
        mut self,
        mut attempt: Attempt,
        answer: Answer,
        collected: CollectedBody,
    ) -> Response {
        let status = answer.status;
        let headers = answer.headers.clone();
        if let (RequestBody::Engine(_), Ok(plain)) = (
            &self.body,
            serde_json::from_slice::<openai::CompletionResponse>(&collected.bytes),
        ) && let Some(usage) = plain.usage
        {
            attempt.prompt = usage.prompt_tokens;
            attempt.output = usage.completion_tokens;
        }
        attempt.record_first_token();
        if !collected.is_complete {
            return self.stream_rest(attempt, answer, collected);
        }
        if status < 400 {
            let (prompt, output) = (attempt.prompt, attempt.output);
            attempt.end(Ending::Finished);
            self.complete(prompt, output);
        } else {
            attempt.end(Ending::Rejected);
            self.fire(RequestEvent::Fail);
        }
        answer::forwarded(status, &headers, server::full(collected.bytes))
    }

    /// Streams a response that is too long to buffer.
    fn stream_rest(
        mut self,
        attempt: Attempt,
        mut answer: Answer,
        start: CollectedBody,
    ) -> Response {
        let (sender, body) = answer::channel();
        let response = answer::forwarded(answer.status, &answer.headers, body);
        tokio::spawn(async move {
            tokio::select! {
                () = sender.closed() => return,
                result = self.copy_rest(attempt, &mut answer, start, &sender) => {
                    // A body that is not an event stream cannot carry an error, so it breaks off.
                    if result.is_err() {
                        return;
                    }
                }
            }
            sender.complete();
        });
        response
    }

    /// Copies the response to the caller and records how the request ended.
    async fn copy_rest(
        &mut self,
        attempt: Attempt,
        answer: &mut Answer,
        start: CollectedBody,
        sender: &BodySender,
    ) -> Result<(), Failure> {
        let copied = self.copy_chunks(answer, start, sender).await;
        match &copied {
            Ok(()) => {
                let (prompt, output) = (attempt.prompt, attempt.output);
                attempt.end(Ending::Finished);
                self.complete(prompt, output);
            }
            Err(failure) => {
                attempt.end(failure.ending);
                self.fail(&failure.refusal);
            }
        }
        copied
    }

    async fn copy_chunks(
        &mut self,
        answer: &mut Answer,
        start: CollectedBody,
        sender: &BodySender,
    ) -> Result<(), Failure> {
        let end = self.end();
        let mut chunk = start.bytes.into();
        loop {
            self.send_to_caller(chunk, sender).await?;
            let deadline = end.min(self.gateway.now() + self.idle_timeout());
            let read = answer.next();
            let read = within(&mut self.grant, self.gateway.now(), deadline, read).await;
            chunk = match read {
                Ok(Ok(Some(bytes))) => bytes,
                Ok(Ok(None)) => return Ok(()),
                Ok(Err(_)) => return Err(Failure::broken()),
                Err(interrupt) => return Err(Failure::interrupted(&interrupt)),
            };
        }
    }

    /// Starts a task that relays the stream until it ends or the caller disconnects.
    pub(crate) fn stream(mut self, stream: OpenStream) -> Response {
        let (sender, body) = answer::channel();
        tokio::spawn(async move {
            tokio::select! {
                () = sender.closed() => return,
                () = self.relay(stream, &sender) => {}
            }
            sender.complete();
        });
        answer::events(body)
    }

    /// Relays the stream; an error is sent to the caller as the last event.
    async fn relay(&mut self, stream: OpenStream, sender: &BodySender) {
        let result = self.relay_events(stream, sender).await;
        let Err(refusal) = result else {
            return;
        };
        let is_final_code = matches!(
            refusal.code,
            ResultCode::KeyWithdrawn | ResultCode::ViewExpired | ResultCode::Quarantined
        );
        let refusal = if is_final_code {
            Refusal::possibly_executed(refusal.code)
        } else {
            Refusal::possibly_executed(ResultCode::StreamInterrupted)
        };
        self.fail(&refusal);
        let mut event = Vec::new();
        sse::write_event(&mut event, &refusal.body(self.id));
        // The send fails if the caller has disconnected, which needs no handling.
        let _ = sender.send(event.into()).await;
    }

    /// Relays events and resumes the stream on another endpoint when an attempt fails.
    async fn relay_events(
        &mut self,
        stream: OpenStream,
        sender: &BodySender,
    ) -> Result<(), Refusal> {
        let end = self.end();
        let idle = self.idle_timeout();
        let OpenStream {
            mut attempt,
            mut answer,
            mut output,
            mut failed,
        } = stream;
        loop {
            if self.progress.relay.is_done() {
                return self.finish(attempt, output, sender).await;
            }
            if !output.is_empty() {
                let sent = self.send_to_caller(output.into(), sender).await;
                sent.map_err(|failure| failure.refusal)?;
            }
            output = Vec::new();
            if let Some(failure) = failed.take() {
                if self.progress.relay.is_finished() {
                    sse::write_event(&mut output, openai::DONE);
                    return self.finish(attempt, output, sender).await;
                }
                drop(answer);
                let failure = self.end_failed_attempt(attempt, failure).await;
                self.prepare_retry(&failure)?;
                match self.open().await? {
                    Opened::Stream(next) => {
                        (attempt, answer) = (next.attempt, next.answer);
                        (output, failed) = (next.output, next.failed);
                    }
                    Opened::Buffered(..) => {
                        return Err(Refusal::possibly_executed(ResultCode::StreamInterrupted));
                    }
                }
                continue;
            }
            let deadline = end.min(self.gateway.now() + idle);
            let read = answer.next();
            let read = within(&mut self.grant, self.gateway.now(), deadline, read).await;
            failed = self.process_read(read, &mut output).err();
        }
    }

    /// Sends bytes to the caller, waiting until there is room in its buffer.
    async fn send_to_caller(&mut self, output: Bytes, sender: &BodySender) -> Result<(), Failure> {
        let end = self.end();
        let sent = sender.send(output);
        match within(&mut self.grant, self.gateway.now(), end, sent).await {
            Ok(Ok(())) => Ok(()),
            // The caller disconnected, so this task is about to be dropped.
            Ok(Err(_)) => std::future::pending().await,
            // However long the caller takes to read, the endpoint is not at fault.
            Err(interrupt) => Err(Failure {
                ending: Ending::Cancelled,
                ..Failure::interrupted(&interrupt)
            }),
        }
    }

    /// Sends the last bytes to the caller and records the completion.
    async fn finish(
        &mut self,
        mut attempt: Attempt,
        output: Vec<u8>,
        sender: &BodySender,
    ) -> Result<(), Refusal> {
        let relay = &self.progress.relay;
        let counted = relay.tokens();
        let (prompt, tokens) = match relay.usage() {
            Some(usage) => (usage.prompt_tokens, usage.completion_tokens),
            None => (attempt.prompt, counted),
        };
        attempt.prompt = prompt;
        attempt.output = tokens.saturating_sub(self.progress.tokens_at_start);
        let sent = self.send_to_caller(output.into(), sender).await;
        sent.map_err(|failure| failure.refusal)?;
        attempt.end(Ending::Finished);
        self.complete(prompt, tokens);
        Ok(())
    }
}
