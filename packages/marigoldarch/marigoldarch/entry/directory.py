"""The directory: which node a caller should use."""

from __future__ import annotations

import heapq
import random
from typing import NamedTuple

from marigoldarch.clock import Millis
from marigoldarch.messages import NodeLoad

LOAD_OFFSET = 50
"""Requests added to each node's load, so that small differences of lagged reports weigh little."""

ADDRESS_LIMIT = 8
"""How many addresses an answer names: one to use and enough alternates to find a live one."""


class DirectoryAnswer(NamedTuple):
    """Addresses in the order of preference, and how long the answer may be kept."""

    addresses: list[str]
    ttl_ms: Millis


def weight(load: NodeLoad) -> float:
    """Return a node's weight, which falls with its requests in progress."""
    return 1.0 / (LOAD_OFFSET + load.active)


def order_addresses(
    nodes: list[NodeLoad], data_centre: str, ttl_ms: Millis, chooser: random.Random
) -> DirectoryAnswer:
    """Order the nodes by a weighted random choice, those of the data centre first.

    Leaving nodes are left out. The order is drawn as by Efraimidis and Spirakis, "Weighted random
    sampling with a reservoir" (2006): each node's key is a random number to the power 1/weight.
    """
    keyed = [
        (load.address.data_centre != data_centre, -(chooser.random() ** (1.0 / weight(load))), load)
        for load in nodes
        if not load.is_leaving
    ]
    first = heapq.nsmallest(ADDRESS_LIMIT, keyed, key=lambda item: item[:2])
    return DirectoryAnswer([load.address.caller_address for _, _, load in first], ttl_ms)
