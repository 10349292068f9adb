"""Answers in the forms that model callers' client libraries expect, streamed and whole."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from marigoldarch.codec import encode_json
from marigoldarch.outcomes import Answered, Failed, NotRun, Outcome, OutcomeUnknown
from marigoldarch_node.edge.errors import error_response
from marigoldarch_node.edge.http import HttpError, HttpRequest

if TYPE_CHECKING:
    from marigoldarch_node.calls import Call

MAX_ANSWER_BYTES = 64 * 1024 * 1024

_MARK = "\x00text\x00"


class AnswerForm:
    """The form of a model's answer, as model callers' client libraries expect it."""

    def __init__(self, request_id: str, model: str, *, is_chat: bool) -> None:
        self.request_id = request_id
        self._model = model
        self._is_chat = is_chat
        self._head = self._tail = b""

    @property
    def last_events(self) -> bytes:
        """Return what ends a complete stream."""
        return self._chunk("", "stop") + b"data: [DONE]\n\n"

    def event(self, text: str) -> bytes:
        """Return one streamed chunk as a server-sent event.

        Only the text differs between the chunks of an answer; the rest is encoded once.
        """
        if not self._head:
            self._head, _, self._tail = self._chunk(_MARK, None).rpartition(encode_json(_MARK))
        return self._head + encode_json(text) + self._tail

    def _chunk(self, text: str, finish_reason: str | None) -> bytes:
        name = "chat.completion.chunk" if self._is_chat else "text_completion"
        content = {"delta": {"content": text}} if self._is_chat else {"text": text}
        return b"data: " + encode_json(self._envelope(name, content, finish_reason)) + b"\n\n"

    def whole(self, text: str, output_tokens: int) -> dict[str, Any]:
        """Return a whole answer."""
        name = "chat.completion" if self._is_chat else "text_completion"
        message = {"message": {"role": "assistant", "content": text}}
        content = message if self._is_chat else {"text": text}
        usage = {"usage": {"completion_tokens": output_tokens}}
        return {**self._envelope(name, content, "stop"), **usage}

    def _envelope(
        self, name: str, content: dict[str, Any], finish_reason: str | None
    ) -> dict[str, Any]:
        choice = {"index": 0, "finish_reason": finish_reason, **content}
        return {
            "id": self.request_id,
            "object": name,
            "model": self._model,
            "choices": [choice],
        }


class AnswerWriter:
    """Write a call's answer to its caller."""

    def __init__(self, request: HttpRequest, request_id: str) -> None:
        self._request = request
        self._request_id = request_id

    async def write(self, call: Call) -> None:
        """Write everything up to the final outcome."""
        raise NotImplementedError

    async def _write_error(self, outcome: NotRun | Failed | OutcomeUnknown) -> None:
        response = error_response(self._request_id, outcome)
        await self._request.send_json(response.status, response.body, response.headers)


class StreamedAnswer(AnswerWriter):
    """Server-sent events; the head is sent with the first frame."""

    def __init__(self, request: HttpRequest, form: AnswerForm) -> None:
        super().__init__(request, form.request_id)
        self._form = form
        self._is_started = False

    async def write(self, call: Call) -> None:
        """Write each frame as one event, those that wait together, then the final one."""
        while frames := await call.take():
            await self._start()
            events = [self._form.event(frame.text) for frame in frames if frame.text]
            if events:
                await self._request.send_chunk(b"".join(events))
        outcome = call.outcome
        if isinstance(outcome, Answered):
            await self._start()
            await self._request.send_chunk(self._form.last_events, is_last=True)
        elif self._is_started:
            body = encode_json(error_response(self._request_id, outcome).body)
            await self._request.send_chunk(b"data: " + body + b"\n\n", is_last=True)
        else:
            await self._write_error(outcome)

    async def _start(self) -> None:
        if not self._is_started:
            self._is_started = True
            await self._request.start(200, "text/event-stream", {"x-request-id": self._request_id})


class WholeAnswer(AnswerWriter):
    """One JSON document at the end."""

    def __init__(self, request: HttpRequest, form: AnswerForm) -> None:
        super().__init__(request, form.request_id)
        self._form = form

    async def write(self, call: Call) -> None:
        """Collect the frames and write the answer."""
        texts: list[str] = []
        size = 0
        while frames := await call.take():
            texts += [frame.text for frame in frames]
            size += sum(len(frame.text) for frame in frames)
            if size > MAX_ANSWER_BYTES:
                message = "the answer is too large to be sent whole; ask for a stream"
                raise HttpError(502, "answer_too_large", message, run="failed")
        outcome: Outcome = call.outcome
        if not isinstance(outcome, Answered):
            await self._write_error(outcome)
            return
        body = self._form.whole("".join(texts), outcome.output_tokens)
        await self._request.send_json(200, body, {"x-request-id": self._request_id})


class ServiceAnswer(AnswerWriter):
    """The answer of a plain service."""

    async def write(self, call: Call) -> None:
        """Write the body that the service returned."""
        while await call.take():
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
