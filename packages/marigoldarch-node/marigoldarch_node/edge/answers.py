"""Writers of answers to callers: streamed events, complete completions and service answers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from marigoldarch.codec import encode_json
from marigoldarch.outcomes import Answered, Failed, NotRun, Outcome, OutcomeUnknown
from marigoldarch_node.edge.errors import error_response
from marigoldarch_node.edge.http import HttpError, HttpRequest

if TYPE_CHECKING:
    from marigoldarch_node.calls import Call

MAX_ANSWER_CHARACTERS = 64 * 1024 * 1024

_TEXT_PLACEHOLDER = "\x00text\x00"


class CompletionFormatter:
    """Formats a model's answer as the completion objects that OpenAI-compatible clients expect."""

    def __init__(self, request_id: str, model: str, *, is_chat: bool) -> None:
        self.request_id = request_id
        self._model = model
        self._is_chat = is_chat
        self._chunk_start = self._chunk_end = b""

    @property
    def final_events(self) -> bytes:
        """Return the events that end a complete stream."""
        return self._encode_chunk("", "stop") + b"data: [DONE]\n\n"

    def format_chunk(self, text: str) -> bytes:
        """Return one chunk of text as a server-sent event.

        Only the text differs between the chunks of an answer, so the JSON around it is encoded
        once.
        """
        if not self._chunk_start:
            self._chunk_start, _, self._chunk_end = self._encode_chunk(
                _TEXT_PLACEHOLDER, None
            ).rpartition(encode_json(_TEXT_PLACEHOLDER))
        return self._chunk_start + encode_json(text) + self._chunk_end

    def _encode_chunk(self, text: str, finish_reason: str | None) -> bytes:
        object_type = "chat.completion.chunk" if self._is_chat else "text_completion"
        content = {"delta": {"content": text}} if self._is_chat else {"text": text}
        return (
            b"data: " + encode_json(self._envelope(object_type, content, finish_reason)) + b"\n\n"
        )

    def format_whole(self, text: str, output_tokens: int) -> dict[str, Any]:
        """Return the completion object of a complete answer."""
        object_type = "chat.completion" if self._is_chat else "text_completion"
        message = {"message": {"role": "assistant", "content": text}}
        content = message if self._is_chat else {"text": text}
        usage = {"usage": {"completion_tokens": output_tokens}}
        return {**self._envelope(object_type, content, "stop"), **usage}

    def _envelope(
        self, object_type: str, content: dict[str, Any], finish_reason: str | None
    ) -> dict[str, Any]:
        choice = {"index": 0, "finish_reason": finish_reason, **content}
        return {
            "id": self.request_id,
            "object": object_type,
            "model": self._model,
            "choices": [choice],
        }


class AnswerWriter:
    """Writes the answer of a call to its caller."""

    def __init__(self, request: HttpRequest, request_id: str) -> None:
        self._request = request
        self._request_id = request_id

    async def write(self, call: Call) -> None:
        """Write the answer, and return once the final outcome is written."""
        raise NotImplementedError

    async def _write_error(self, outcome: NotRun | Failed | OutcomeUnknown) -> None:
        response = error_response(self._request_id, outcome)
        await self._request.send_json(response.status, response.body, response.headers)


class StreamedAnswerWriter(AnswerWriter):
    """Writes an answer as server-sent events; the headers are sent with the first frame."""

    def __init__(self, request: HttpRequest, formatter: CompletionFormatter) -> None:
        super().__init__(request, formatter.request_id)
        self._formatter = formatter
        self._is_response_started = False

    async def write(self, call: Call) -> None:
        """Write an event for each frame, pending ones in one chunk, then the final events."""
        while frames := await call.take_frames():
            await self._start()
            events = [self._formatter.format_chunk(frame.text) for frame in frames if frame.text]
            if events:
                await self._request.send_chunk(b"".join(events))
        outcome = call.outcome
        if isinstance(outcome, Answered):
            await self._start()
            await self._request.send_chunk(self._formatter.final_events, is_last=True)
        elif self._is_response_started:
            body = encode_json(error_response(self._request_id, outcome).body)
            await self._request.send_chunk(b"data: " + body + b"\n\n", is_last=True)
        else:
            await self._write_error(outcome)

    async def _start(self) -> None:
        if not self._is_response_started:
            self._is_response_started = True
            await self._request.start(200, "text/event-stream", {"x-request-id": self._request_id})


class BufferedAnswerWriter(AnswerWriter):
    """Writes an answer as one JSON document when it is complete."""

    def __init__(self, request: HttpRequest, formatter: CompletionFormatter) -> None:
        super().__init__(request, formatter.request_id)
        self._formatter = formatter

    async def write(self, call: Call) -> None:
        """Collect all frames, then write the answer.

        Raises `HttpError` when the text exceeds `MAX_ANSWER_CHARACTERS`.
        """
        texts: list[str] = []
        character_count = 0
        while frames := await call.take_frames():
            texts += [frame.text for frame in frames]
            character_count += sum(len(frame.text) for frame in frames)
            if character_count > MAX_ANSWER_CHARACTERS:
                message = "the answer is too large to be sent whole; ask for a stream"
                raise HttpError(502, "answer_too_large", message, run="failed")
        outcome: Outcome = call.outcome
        if not isinstance(outcome, Answered):
            await self._write_error(outcome)
            return
        body = self._formatter.format_whole("".join(texts), outcome.output_tokens)
        await self._request.send_json(200, body, {"x-request-id": self._request_id})


class ServiceAnswerWriter(AnswerWriter):
    """Writes the answer of a plain service."""

    async def write(self, call: Call) -> None:
        """Write the body that the service returned, unchanged."""
        while await call.take_frames():
            pass
        outcome = call.outcome
        if not isinstance(outcome, Answered):
            await self._write_error(outcome)
            return
        headers = {"x-request-id": self._request_id}
        if outcome.replayed:
            headers["x-marigoldarch-replayed"] = "true"
        await self._request.start(200, "application/json", headers)
        await self._request.send_chunk(outcome.body.encode(), is_last=True)
