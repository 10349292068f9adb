"""The interface to callers: prompts, plain service calls, models and the directory."""

from __future__ import annotations

import hashlib
import uuid
from typing import TYPE_CHECKING, Any

import trio

from marigoldarch.codec import decode_json, encode_json
from marigoldarch.entry.prefix import estimate_tokens, prefix_names
from marigoldarch.events import CallArrived, CallerGone, CallInfo
from marigoldarch.exceptions import CodecError
from marigoldarch.outcomes import Answered, Failed, NotRun, Outcome, OutcomeUnknown
from marigoldarch_node.calls import Call, Payload
from marigoldarch_node.edge.errors import error_response
from marigoldarch_node.edge.http import BodyBudget, HttpError, HttpRequest, Route

if TYPE_CHECKING:
    from marigoldarch_node.runtime import Runtime

KIND_HEADER = "x-marigoldarch-kind"
DEADLINE_HEADER = "x-marigoldarch-deadline-ms"
IDEMPOTENCY_HEADER = "idempotency-key"
SERVICE_PREFIX = "/v1/services/"
MAX_OUTPUT_TOKENS = 1_000_000
MAX_NAME_CHARACTERS = 256
MAX_HELD_CHARACTERS = 512 * 1024 * 1024
"""How much text of prompts and bodies all calls in progress may hold together."""

MAX_ANSWER_BYTES = 64 * 1024 * 1024
MAX_DEADLINE_MS = 1e10

_MARK = "\x00text\x00"


class CallerRoutes:
    """Serve callers."""

    def __init__(self, runtime: Runtime) -> None:
        self._runtime = runtime
        self._held = BodyBudget(MAX_HELD_CHARACTERS)

    @property
    def routes(self) -> list[Route]:
        """Return the routes for callers."""
        return [
            Route("POST", "/v1/chat/completions", self._serve_chat),
            Route("POST", "/v1/completions", self._serve_completion),
            Route("GET", "/v1/models", self._serve_models),
            Route("GET", "/v1/directory", self._serve_directory),
            Route("POST", SERVICE_PREFIX, self._serve_service, is_prefix=True),
        ]

    async def _serve_chat(self, request: HttpRequest) -> None:
        body = _as_object(await request.read_json())
        await self._serve_prompt(request, body, _chat_prompt(body), is_chat=True)

    async def _serve_completion(self, request: HttpRequest) -> None:
        body = _as_object(await request.read_json())
        prompt = body.get("prompt")
        if not isinstance(prompt, str):
            raise HttpError(400, "invalid_request", "prompt must be a string")
        await self._serve_prompt(request, body, prompt, is_chat=False)

    async def _serve_prompt(
        self, request: HttpRequest, body: dict[str, Any], prompt: str, *, is_chat: bool
    ) -> None:
        default_tokens = self._runtime.settings.core.entry.default_output_tokens
        max_tokens = body.get("max_tokens", default_tokens)
        if type(max_tokens) is not int or not 0 < max_tokens <= MAX_OUTPUT_TOKENS:
            raise HttpError(400, "invalid_request", "max_tokens must be a positive integer")
        model, adapter, version = _split_model(body.get("model"))
        encoded = prompt.encode()
        info = CallInfo(
            _new_request_id(),
            hash_key(request.bearer),
            _read_name(request, KIND_HEADER),
            model,
            adapter,
            version,
            prompt_tokens=estimate_tokens(encoded),
            output_tokens=max_tokens,
            deadline_ms=_parse_deadline(request),
            prefix=prefix_names(encoded, f"{model}:{adapter}@{version}"),
        )
        payload = Payload(model, adapter, version, prompt, max_tokens)
        form = AnswerForm(info.request_id, str(body["model"]), is_chat=is_chat)
        if body.get("stream") is True:
            await self._serve_call(request, info, payload, StreamedAnswer(request, form))
        else:
            await self._serve_call(request, info, payload, WholeAnswer(request, form))

    async def _serve_service(self, request: HttpRequest) -> None:
        service, _, method = request.path[len(SERVICE_PREFIX) :].partition("/")
        body = _decode_text(await request.read_body())
        info = CallInfo(
            _new_request_id(),
            hash_key(request.bearer),
            _read_name(request, KIND_HEADER),
            service=service,
            method=method,
            deadline_ms=_parse_deadline(request),
            idempotency_key=_read_name(request, IDEMPOTENCY_HEADER),
            body_sha256=hashlib.sha256(f"{method}\0{body}".encode()).hexdigest(),
            wall_ms=self._runtime.clock.wall_ms(),
        )
        payload = Payload(service=service, method=method, body=body)
        await self._serve_call(request, info, payload, ServiceAnswer(request, info.request_id))

    async def _serve_call(
        self, request: HttpRequest, info: CallInfo, payload: Payload, answer: AnswerWriter
    ) -> None:
        size = len(payload.prompt) + len(payload.body)
        self._held.take(size)
        call = self._runtime.calls.open(info.request_id, payload)
        try:
            self._runtime.submit(CallArrived(self._runtime.clock.monotonic_ms(), info))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._watch_caller, request, info.request_id)
                await answer.write(call)
                nursery.cancel_scope.cancel()
        finally:
            self._held.give_back(size)
            call.abandon()
            if call.outcome is None:
                self._caller_gone(info.request_id)

    async def _watch_caller(self, request: HttpRequest, request_id: str) -> None:
        while (await request.receive())["type"] != "http.disconnect":
            pass
        self._caller_gone(request_id)

    def _caller_gone(self, request_id: str) -> None:
        self._runtime.submit(CallerGone(self._runtime.clock.monotonic_ms(), request_id))

    async def _serve_models(self, request: HttpRequest) -> None:
        view = self._runtime.state.control.member.view
        customer = view.find_customer(hash_key(request.bearer))
        if customer is None:
            raise HttpError(401, "unknown_key", "the bearer key names no customer")
        models = view.teams[customer.team].declaration.models
        data = [{"id": name, "object": "model", "owned_by": customer.team} for name in models]
        await request.send_json(200, {"object": "list", "data": data})

    async def _serve_directory(self, request: HttpRequest) -> None:
        own = self._runtime.settings.core.address.data_centre
        data_centre = request.query.get("data_centre", own)
        now_ms = self._runtime.clock.monotonic_ms()
        answer = self._runtime.state.ask_directory(data_centre, now_ms)
        if answer is None:
            raise HttpError(503, "no_lease", "this node is cut off; ask another one")
        body = {"addresses": answer.addresses, "ttl_ms": answer.ttl_ms}
        await request.send_json(200, body)


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


def hash_key(key: str) -> str:
    """Return the digest under which a bearer key is declared."""
    return hashlib.sha256(key.encode()).hexdigest()


def _new_request_id() -> str:
    return f"req-{uuid.uuid4().hex}"


def _decode_text(body: bytes) -> str:
    """Return a JSON body as text; raise `HttpError` when it is not JSON in UTF-8."""
    try:
        decode_json(body)
        return body.decode()
    except (CodecError, UnicodeDecodeError) as error:
        raise HttpError(400, "invalid_json", "the body must be JSON in UTF-8") from error


def _read_name(request: HttpRequest, header: str) -> str:
    """Return a header that holds a name or a key; empty when it is missing."""
    value = request.headers.get(header, "")
    if len(value) > MAX_NAME_CHARACTERS:
        message = f"{header} must have at most {MAX_NAME_CHARACTERS} characters"
        raise HttpError(400, "invalid_request", message)
    return value


def _as_object(plain: Any) -> dict[str, Any]:
    if not isinstance(plain, dict):
        raise HttpError(400, "invalid_request", "the body must be a JSON object")
    return plain


def _chat_prompt(body: dict[str, Any]) -> str:
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise HttpError(400, "invalid_request", "messages must be a list that is not empty")
    parts: list[str] = []
    for message in messages:
        content = message.get("content") if isinstance(message, dict) else None
        if not isinstance(content, str):
            raise HttpError(400, "invalid_request", "each message needs a string as content")
        parts.append(content)
    return "\n".join(parts)


def _split_model(model: Any) -> tuple[str, str, str]:
    """Split `model[:adapter][@version]`."""
    if not isinstance(model, str) or not 0 < len(model) <= MAX_NAME_CHARACTERS:
        message = f"model must be a string of 1 to {MAX_NAME_CHARACTERS} characters"
        raise HttpError(400, "invalid_request", message)
    rest, _, version = model.partition("@")
    name, _, adapter = rest.partition(":")
    return name, adapter, version


def _parse_deadline(request: HttpRequest) -> float | None:
    raw = request.headers.get(DEADLINE_HEADER)
    if raw is None:
        return None
    try:
        deadline_ms = float(raw)
    except ValueError:
        deadline_ms = 0.0
    if not 0 < deadline_ms < MAX_DEADLINE_MS:
        raise HttpError(400, "invalid_request", f"{DEADLINE_HEADER} must be a positive number")
    return deadline_ms
