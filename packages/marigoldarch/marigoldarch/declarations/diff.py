"""Comparison of two declarations in their plain form."""

from __future__ import annotations

from typing import Any, NamedTuple


class Difference(NamedTuple):
    """One path whose value differs; None stands for an absent value."""

    path: str
    before: Any
    after: Any

    def __str__(self) -> str:
        if self.before is None:
            return f"+ {self.path} = {self.after!r}"
        if self.after is None:
            return f"- {self.path} = {self.before!r}"
        return f"~ {self.path}: {self.before!r} -> {self.after!r}"


def compare(before: Any, after: Any, path: str = "") -> list[Difference]:
    """Return what differs, in the order of the paths."""
    if isinstance(before, dict) and isinstance(after, dict):
        differences: list[Difference] = []
        for name in sorted(before.keys() | after.keys()):
            inner = f"{path}.{name}" if path else name
            differences += compare(before.get(name), after.get(name), inner)
        return differences
    if _normal(before) == _normal(after):
        return []
    return [Difference(path, before, after)]


def _normal(value: Any) -> Any:
    return list(value) if isinstance(value, tuple) else value
