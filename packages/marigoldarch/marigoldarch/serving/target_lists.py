"""Reads lists of targets that other nodes have sent, or that lie in files.

Load pattern: another writer, or a node of another build, leaves one odd entry. It names no target to use;
the others hold.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from marigoldarch.addresses import is_address
from marigoldarch.decimals import MAX_WHOLE_NUMBER
from marigoldarch.header_values import is_header_value
from marigoldarch.serving.targets import Target

if TYPE_CHECKING:
    from collections.abc import Callable


class TargetList(NamedTuple):
    """The sound targets of a list, in its order, and the number of its odd entries."""

    targets: list[Target]
    odd: int


def is_sound(target: Target) -> bool:
    """Return whether a target can be connected to, named in a header, and told to other nodes."""
    numbers = (target.born_ms, target.serial, target.slots)
    is_bounded = all(0 <= number <= MAX_WHOLE_NUMBER for number in numbers)
    return is_bounded and is_address(target.address) and is_header_value(target.target_id)


def read_targets(data: bytes, decode: Callable[..., Any]) -> TargetList:
    """Return the sound targets of an encoded list, and how many others it has.

    `decode` is that of `msgspec.json` or `msgspec.msgpack`. Raises `msgspec.DecodeError`, or `RecursionError` if
    the list is nested too deeply.
    """
    try:
        told = decode(data, type=list[Target])
    except msgspec.ValidationError:
        # Much slower, and rarely needed: each entry is read by itself.
        told = [_read_target(item) for item in decode(data, type=list)]
    sound = [target for target in told if target is not None and is_sound(target)]
    return TargetList(sound, len(told) - len(sound))


def _read_target(item: Any) -> Target | None:
    try:
        return msgspec.convert(item, Target)
    except msgspec.ValidationError:
        return None
