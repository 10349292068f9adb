"""Decides whether a response is known to be from the target to which its request was sent.

What a response says of its target, for example that it is leaving, affects all requests. Faulty
targets send additional bytes, late responses or those of other requests; these must have no effect.
"""

from __future__ import annotations

from typing import NamedTuple


class ResponseOrigin(NamedTuple):
    """What is known of the origin of a response.

    `sent_id` is the id of the request and `echoed_id` the one that the response names, each empty if
    there is none. With `is_misdirected`, another target than the intended one has responded.
    """

    sent_id: str
    echoed_id: str
    is_first_on_connection: bool
    is_misdirected: bool = False


def is_from_target(origin: ResponseOrigin) -> bool:
    """Return whether the response is known to be from the target.

    Without an id, only the first response on a connection is known to belong to the request.
    """
    if origin.is_misdirected:
        return False
    if origin.echoed_id:
        return origin.echoed_id == origin.sent_id
    return origin.is_first_on_connection
