"""The directory: the addresses of nodes that a caller should use."""

from __future__ import annotations

import heapq
import random
from typing import NamedTuple

from marigoldarch.clock import Millis
from marigoldarch.messages import NodeLoad

LOAD_OFFSET = 50
"""Requests added to each node's load, as small differences of lagged reports mean little."""

MAX_ADDRESSES = 8
"""Most addresses in an answer: one to use, and enough alternates to find a live one."""


class DirectoryAnswer(NamedTuple):
    """Caller addresses in order of preference, and how long a caller may cache them."""

    addresses: list[str]
    ttl_ms: Millis


def selection_weight(load: NodeLoad) -> float:
    """Return a node's weight, which decreases with its requests in progress."""
    return 1.0 / (LOAD_OFFSET + load.active)


def order_addresses(
    nodes: list[NodeLoad], data_centre: str, ttl_ms: Millis, rng: random.Random
) -> DirectoryAnswer:
    """Return addresses in weighted random order, those of the data centre first.

    Leaving nodes are omitted. The order is that of Efraimidis and Spirakis, "Weighted random
    sampling with a reservoir" (2006): each node's key is a random number to the power 1/weight.
    """
    keyed_loads = [
        (
            load.address.data_centre != data_centre,
            -(rng.random() ** (1.0 / selection_weight(load))),
            load,
        )
        for load in nodes
        if not load.is_leaving
    ]
    chosen = heapq.nsmallest(MAX_ADDRESSES, keyed_loads, key=lambda item: item[:2])
    return DirectoryAnswer([load.address.caller_address for _, _, load in chosen], ttl_ms)
