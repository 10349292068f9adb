"""The entries of the replicated log that a replica holds in memory."""

from __future__ import annotations

from marigoldarch.control.commands import Entry


class Log:
    """Consecutive entries after a base index; a snapshot covers the entries up to it."""

    def __init__(self, base_index: int = 0, base_term: int = 0) -> None:
        self._base_index = base_index
        self._base_term = base_term
        self._entries: list[Entry] = []

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def base_index(self) -> int:
        """Return the index of the last entry that was compacted away."""
        return self._base_index

    @property
    def last_index(self) -> int:
        """Return the index of the last entry, or the base index if there is none."""
        return self._base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self._entries[-1].term if self._entries else self._base_term

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at `index`, or None if it is not in memory."""
        if index == self._base_index:
            return self._base_term
        if not self._base_index < index <= self.last_index:
            return None
        return self._entries[index - self._base_index - 1].term

    def entry_at(self, index: int) -> Entry:
        """Return the entry at `index`, which must be in memory."""
        return self._entries[index - self._base_index - 1]

    def entries_from(self, index: int, limit: int) -> list[Entry]:
        """Return at most `limit` entries, starting at `index`."""
        start = index - self._base_index - 1
        return self._entries[start : start + limit]

    def append(self, entry: Entry) -> None:
        """Append the next entry; raise `ValueError` if its index does not follow the last one."""
        if entry.index != self.last_index + 1:
            raise ValueError(
                f"log entry {entry.index} does not follow the last entry {self.last_index}"
            )
        self._entries.append(entry)

    def truncate_from(self, index: int) -> None:
        """Remove the entry at `index` and all later ones."""
        del self._entries[index - self._base_index - 1 :]

    def compact(self, index: int) -> None:
        """Remove all entries up to and including `index`, which must be in memory."""
        if index <= self._base_index:
            return
        term = self.entry_at(index).term
        del self._entries[: index - self._base_index]
        self._base_index = index
        self._base_term = term

    def first_index_of_term(self, index: int) -> int:
        """Return the first index in memory with the same term as the entry at `index`."""
        term = self.term_at(index)
        while index - 1 > self._base_index and self.term_at(index - 1) == term:
            index -= 1
        return index
