"""Requests of the command line to a node."""

from __future__ import annotations

import os
from typing import Any, NamedTuple

import httpcore
from expression import Error, Ok, Result

from marigoldarch.codec import decode_json, encode_json
from marigoldarch.exceptions import CodecError, MarigoldarchError

NODE_VARIABLE = "MARIGOLDARCH_NODE_ADDRESS"
KEY_VARIABLE = "MARIGOLDARCH_OPERATOR_KEY"
TIMEOUT_S = 30.0


class RequestError(MarigoldarchError):
    """A node cannot be reached or refuses the request."""


class Answer(NamedTuple):
    """A node's answer."""

    status: int
    body: Any


class NodeClient:
    """Talk to one node as an operator."""

    def __init__(self, node: str = "", key: str = "") -> None:
        self._node = str(node or os.environ.get(NODE_VARIABLE, ""))
        self._key = str(key or os.environ.get(KEY_VARIABLE, ""))

    def request(self, method: str, path: str, body: Any = None) -> Result[Answer, RequestError]:
        """Send one request and return the decoded answer."""
        if not self._node:
            remedy = f"--node or {NODE_VARIABLE}: name a node as IP:PORT"
            return Error(RequestError(remedy))
        headers = {"authorization": f"Bearer {self._key}"} if self._key else {}
        timeout = dict.fromkeys(("connect", "read", "write"), TIMEOUT_S)
        try:
            response = httpcore.request(
                method,
                f"http://{self._node}{path}",
                headers=headers,
                content=None if body is None else encode_json(body),
                extensions={"timeout": timeout},
            )
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as error:
            return Error(RequestError(f"{self._node} does not answer: {error}"))
        try:
            return Ok(Answer(response.status, decode_json(response.content)))
        except CodecError as error:
            return Error(RequestError(f"{self._node} does not speak JSON: {error}"))
