"""Requests of the command line to a node."""

from __future__ import annotations

import os
import re
import ssl
from typing import Any, NamedTuple

import httpcore
from expression import Error, Ok, Result

from marigoldarch.codec import decode_json, encode_json
from marigoldarch.exceptions import CodecError, MarigoldarchError

NODE_VARIABLE = "MARIGOLDARCH_NODE_ADDRESS"
KEY_VARIABLE = "MARIGOLDARCH_OPERATOR_KEY"
AUTHORITY_VARIABLE = "MARIGOLDARCH_TLS_AUTHORITY"
"""Names a PEM file; with it, nodes are spoken to over TLS and must be certified by it."""

TIMEOUT_S = 30.0

_ADDRESS = re.compile(r"[A-Za-z0-9.-]{1,253}:[0-9]{1,5}\Z")


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
        if not _ADDRESS.match(self._node):
            remedy = f"--node or {NODE_VARIABLE}: name a node as IP:PORT"
            return Error(RequestError(remedy))
        headers = {"authorization": f"Bearer {self._key}"} if self._key else {}
        timeout = dict.fromkeys(("connect", "read", "write"), TIMEOUT_S)
        try:
            scheme, context = self._transport()
            with httpcore.ConnectionPool(ssl_context=context) as pool:
                response = pool.request(
                    method,
                    f"{scheme}://{self._node}{path}",
                    headers=headers,
                    content=None if body is None else encode_json(body),
                    extensions={"timeout": timeout},
                )
        except OSError as error:
            remedy = f"{AUTHORITY_VARIABLE}: name a readable PEM file"
            return Error(RequestError(f"{remedy} ({error.strerror})"))
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as error:
            return Error(RequestError(f"{self._node} does not answer: {error}"))
        try:
            return Ok(Answer(response.status, decode_json(response.content)))
        except CodecError as error:
            return Error(RequestError(f"{self._node} does not speak JSON: {error}"))

    def _transport(self) -> tuple[str, ssl.SSLContext | None]:
        authority = os.environ.get(AUTHORITY_VARIABLE)
        if not authority:
            return "http", None
        return "https", ssl.create_default_context(cafile=authority)
