"""Names what a request and its repeats have in common: their caller, path and body."""

from __future__ import annotations

import hashlib

IDENTITY_PREFIX = "request:"
"""No name of a part of a prompt has a colon, so that none can be taken for an identity."""

DIGEST_BYTES = 16


def request_identity(key: str, method: str, target: str, body: bytes) -> str:
    """Return the same text for all repeats of a request, whatever their ids.

    The digest is keyed with the caller's API key, which is not known to others: a log line or a
    report with it does not tell what the request held. Entries need no common secret for it.
    """
    caller = hashlib.blake2b(key.encode("utf-8", "surrogateescape")).digest()
    digest = hashlib.blake2b(key=caller, digest_size=DIGEST_BYTES)
    head = f"{method} {target}".encode("utf-8", "surrogateescape")
    digest.update(len(head).to_bytes(8, "big") + head)
    digest.update(body)
    return IDENTITY_PREFIX + digest.hexdigest()
