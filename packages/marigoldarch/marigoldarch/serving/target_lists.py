"""Reads lists of targets that other nodes have sent, or that lie in files.

Load pattern: another writer, or a node of another build, leaves one odd entry. It names no target to use;
the others hold.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from marigoldarch.addresses import is_address
from marigoldarch.decimals import MAX_WHOLE_NUMBER
from marigoldarch.header_values import is_header_value
from marigoldarch.serving.targets import Target

if TYPE_CHECKING:
    from collections.abc import Iterable


def is_sound(target: Target) -> bool:
    """Return whether a target can be connected to, named in a header, and told to other nodes."""
    numbers = (target.born_ms, target.serial, target.slots)
    is_bounded = all(0 <= number <= MAX_WHOLE_NUMBER for number in numbers)
    return is_bounded and is_address(target.address) and is_header_value(target.target_id)


def read_targets(plain: Iterable[Any]) -> list[Target]:
    """Return the sound targets of a decoded list, in its order."""
    targets: list[Target] = []
    for item in plain:
        try:
            target = msgspec.convert(item, Target)
        except msgspec.ValidationError:
            continue
        if is_sound(target):
            targets.append(target)
    return targets
