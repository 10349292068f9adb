"""HTTP client for the operator API of a node."""

from __future__ import annotations

import os
import re
import ssl
from typing import Any, NamedTuple

import httpcore
from expression import Error, Ok, Result

from marigoldarch.codec import decode_json, encode_json
from marigoldarch.exceptions import CodecError, MarigoldarchError

NODE_ADDRESS_VARIABLE = "MARIGOLDARCH_NODE_ADDRESS"
OPERATOR_KEY_VARIABLE = "MARIGOLDARCH_OPERATOR_KEY"
TLS_AUTHORITY_VARIABLE = "MARIGOLDARCH_TLS_AUTHORITY"
"""Names a PEM file of CA certificates.

If set, requests use TLS, and one of these authorities must have issued the node's certificate.
"""

REQUEST_TIMEOUT_S = 30.0
"""Limits connecting, each read and each write; not the request as a whole."""

_NODE_ADDRESS_PATTERN = re.compile(r"[A-Za-z0-9.-]{1,253}:[0-9]{1,5}\Z")


class RequestError(MarigoldarchError):
    """A request cannot be sent, gets no usable response or is refused by the node."""


class Response(NamedTuple):
    """The HTTP status of a node's response, and its body decoded from JSON."""

    status: int
    body: Any


class NodeClient:
    """Sends an operator's requests to one node.

    `node` is IP:PORT and `key` the operator's key; each defaults to its environment variable.
    """

    def __init__(self, node: str = "", key: str = "") -> None:
        self._node = str(node or os.environ.get(NODE_ADDRESS_VARIABLE, ""))
        self._key = str(key or os.environ.get(OPERATOR_KEY_VARIABLE, ""))

    def request(self, method: str, path: str, body: Any = None) -> Result[Response, RequestError]:
        """Send one request, with `body` as JSON; return the response, whatever its status."""
        if not _NODE_ADDRESS_PATTERN.match(self._node):
            message = f"no valid node address: set --node or {NODE_ADDRESS_VARIABLE} to IP:PORT"
            return Error(RequestError(message))
        headers = {"authorization": f"Bearer {self._key}"} if self._key else {}
        timeout = dict.fromkeys(("connect", "read", "write"), REQUEST_TIMEOUT_S)
        try:
            scheme, ssl_context = self._scheme_and_ssl_context()
            with httpcore.ConnectionPool(ssl_context=ssl_context) as pool:
                response = pool.request(
                    method,
                    f"{scheme}://{self._node}{path}",
                    headers=headers,
                    content=None if body is None else encode_json(body),
                    extensions={"timeout": timeout},
                )
        except OSError as error:
            message = f"cannot load the PEM file named by {TLS_AUTHORITY_VARIABLE}"
            return Error(RequestError(f"{message}: {error.strerror}"))
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as error:
            return Error(RequestError(f"{self._node} does not answer: {error}"))
        try:
            return Ok(Response(response.status, decode_json(response.content)))
        except CodecError as error:
            return Error(RequestError(f"{self._node} sent a response that is not JSON: {error}"))

    def _scheme_and_ssl_context(self) -> tuple[str, ssl.SSLContext | None]:
        authority_path = os.environ.get(TLS_AUTHORITY_VARIABLE)
        if not authority_path:
            return "http", None
        return "https", ssl.create_default_context(cafile=authority_path)
