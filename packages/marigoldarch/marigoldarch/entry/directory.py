"""The directory: which node a caller should use."""

from __future__ import annotations

import random
from typing import NamedTuple

from marigoldarch.clock import Millis
from marigoldarch.messages import NodeLoad


class DirectoryAnswer(NamedTuple):
    """Addresses in the order of preference, and how long the answer may be kept."""

    addresses: list[str]
    ttl_ms: Millis


def answer(
    nodes: list[NodeLoad], data_centre: str, ttl_ms: Millis, chooser: random.Random
) -> DirectoryAnswer:
    """Order the nodes by a weighted random choice, with nodes of the data centre first.

    The weight of a node falls with its active requests; leaving nodes are left out.
    """
    staying = [load for load in nodes if not load.is_leaving]
    keyed = [
        (load.address.data_centre != data_centre, -(chooser.random() ** (1 + load.active)), load)
        for load in staying
    ]
    keyed.sort(key=lambda item: item[:2])
    return DirectoryAnswer([load.address.caller_address for _, _, load in keyed], ttl_ms)
