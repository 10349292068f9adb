"""HTTP interface for callers: completions, service calls, the model list and the directory."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Any

import trio

from marigoldarch.entry.prefix import estimate_tokens, prefix_hashes
from marigoldarch.events import CallArrived, CallerGone, CallInfo
from marigoldarch.serving.request_identity import request_identity
from marigoldarch_node.calls import Payload
from marigoldarch_node.edge.answers import (
    AnswerWriter,
    BufferedAnswerWriter,
    CompletionFormatter,
    ServiceAnswerWriter,
    StreamedAnswerWriter,
)
from marigoldarch_node.edge.caller_input import (
    decode_json_text,
    join_chat_messages,
    new_request_id,
    parse_deadline,
    parse_model,
    read_name_header,
    require_object,
)
from marigoldarch_node.edge.http import HttpError, HttpRequest, MemoryBudget, Route

if TYPE_CHECKING:
    from marigoldarch_node.runtime import Runtime

KIND_HEADER = "x-marigoldarch-kind"
IDEMPOTENCY_KEY_HEADER = "idempotency-key"
SERVICE_PATH_PREFIX = "/v1/services/"
MAX_OUTPUT_TOKENS = 1_000_000
MAX_PAYLOAD_CHARACTERS = 512 * 1024 * 1024
"""The limit on the prompts and bodies of all calls in progress, in characters."""


class CallerRoutes:
    """The routes for callers."""

    def __init__(self, runtime: Runtime) -> None:
        self._runtime = runtime
        self._payload_budget = MemoryBudget(MAX_PAYLOAD_CHARACTERS)

    @property
    def routes(self) -> list[Route]:
        """Return the routes for callers."""
        return [
            Route("POST", "/v1/chat/completions", self._serve_chat),
            Route("POST", "/v1/completions", self._serve_completion),
            Route("GET", "/v1/models", self._serve_models),
            Route("GET", "/v1/directory", self._serve_directory),
            Route("POST", SERVICE_PATH_PREFIX, self._serve_service, is_prefix=True),
        ]

    async def _serve_chat(self, request: HttpRequest) -> None:
        body = require_object(await request.read_json())
        await self._serve_prompt(request, body, join_chat_messages(body), is_chat=True)

    async def _serve_completion(self, request: HttpRequest) -> None:
        body = require_object(await request.read_json())
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
        model, adapter, version = parse_model(body.get("model"))
        prompt_bytes = prompt.encode()
        info = CallInfo(
            new_request_id(),
            hash_key(request.bearer_key),
            read_name_header(request, KIND_HEADER),
            model,
            adapter,
            version,
            prompt_tokens=estimate_tokens(prompt_bytes),
            output_tokens=max_tokens,
            deadline_ms=parse_deadline(request),
            prefix=prefix_hashes(prompt_bytes, f"{model}:{adapter}@{version}"),
            identity=request_identity(
                request.bearer_key, "POST", f"{model}:{adapter}@{version}", prompt_bytes
            ),
        )
        payload = Payload(model, adapter, version, prompt, max_tokens)
        formatter = CompletionFormatter(info.request_id, str(body["model"]), is_chat=is_chat)
        if body.get("stream") is True:
            await self._serve_call(request, info, payload, StreamedAnswerWriter(request, formatter))
        else:
            await self._serve_call(request, info, payload, BufferedAnswerWriter(request, formatter))

    async def _serve_service(self, request: HttpRequest) -> None:
        service, _, method = request.path[len(SERVICE_PATH_PREFIX) :].partition("/")
        body = decode_json_text(await request.read_body())
        info = CallInfo(
            new_request_id(),
            hash_key(request.bearer_key),
            read_name_header(request, KIND_HEADER),
            service=service,
            method=method,
            deadline_ms=parse_deadline(request),
            idempotency_key=read_name_header(request, IDEMPOTENCY_KEY_HEADER),
            body_sha256=hashlib.sha256(f"{method}\0{body}".encode()).hexdigest(),
            wall_ms=self._runtime.clock.wall_ms(),
            identity=request_identity(request.bearer_key, "POST", request.path, body.encode()),
        )
        payload = Payload(service=service, method=method, body=body)
        await self._serve_call(
            request, info, payload, ServiceAnswerWriter(request, info.request_id)
        )

    async def _serve_call(
        self, request: HttpRequest, info: CallInfo, payload: Payload, writer: AnswerWriter
    ) -> None:
        payload_characters = len(payload.prompt) + len(payload.body)
        self._payload_budget.reserve(payload_characters)
        call = self._runtime.calls.open(info.request_id, payload)
        try:
            self._runtime.submit(CallArrived(self._runtime.clock.monotonic_ms(), info))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._wait_for_disconnect, request, info.request_id)
                await writer.write(call)
                nursery.cancel_scope.cancel()
        finally:
            self._payload_budget.release(payload_characters)
            call.abandon()
            if call.outcome is None:
                self._submit_caller_gone(info.request_id)

    async def _wait_for_disconnect(self, request: HttpRequest, request_id: str) -> None:
        while (await request.receive())["type"] != "http.disconnect":
            pass
        self._submit_caller_gone(request_id)

    def _submit_caller_gone(self, request_id: str) -> None:
        self._runtime.submit(CallerGone(self._runtime.clock.monotonic_ms(), request_id))

    async def _serve_models(self, request: HttpRequest) -> None:
        view = self._runtime.state.control.member.view
        customer = view.find_customer(hash_key(request.bearer_key))
        if customer is None:
            raise HttpError(401, "unknown_key", "the bearer key names no customer")
        models = view.teams[customer.team].declaration.models
        data = [{"id": name, "object": "model", "owned_by": customer.team} for name in models]
        await request.send_json(200, {"object": "list", "data": data})

    async def _serve_directory(self, request: HttpRequest) -> None:
        own_data_centre = self._runtime.settings.core.address.data_centre
        data_centre = request.query.get("data_centre", own_data_centre)
        now_ms = self._runtime.clock.monotonic_ms()
        answer = self._runtime.state.ask_directory(data_centre, now_ms)
        if answer is None:
            raise HttpError(503, "no_lease", "this node is cut off; ask another one")
        body = {"addresses": answer.addresses, "ttl_ms": answer.ttl_ms}
        await request.send_json(200, body)


def hash_key(key: str) -> str:
    """Return the SHA-256 digest of a bearer key, as declarations hold it."""
    return hashlib.sha256(key.encode()).hexdigest()
