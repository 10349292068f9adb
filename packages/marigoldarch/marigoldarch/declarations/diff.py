"""Comparison of two declarations given as built-in types."""

from __future__ import annotations

from typing import Any, NamedTuple


class Difference(NamedTuple):
    """A path whose values differ; None stands for an absent value."""

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
    """Return the differences, ordered by path."""
    if isinstance(before, dict) and isinstance(after, dict):
        differences: list[Difference] = []
        for name in sorted(before.keys() | after.keys()):
            inner_path = f"{path}.{name}" if path else name
            differences += compare(before.get(name), after.get(name), inner_path)
        return differences
    if _normalize(before) == _normalize(after):
        return []
    return [Difference(path, before, after)]


def _normalize(value: Any) -> Any:
    return list(value) if isinstance(value, tuple) else value
