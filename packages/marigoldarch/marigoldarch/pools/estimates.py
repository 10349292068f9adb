"""Estimates of the size and the duration of work, and its lane and engine priority."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

from marigoldarch.clock import Millis
from marigoldarch.messages import PermitReleased, WorkItem
from marigoldarch.settings import PoolSettings

if TYPE_CHECKING:
    from marigoldarch.pools.permits import Permit

URGENT_PRIORITY = 1
"""The engine priority of work that would otherwise miss its deadline.

Only short work of rank 0 goes before it.
"""


class Lane(StrEnum):
    """The class of work by prompt length, which has its own queue.

    Each engine is assigned to `SHORT` or to `LONG`; `MEDIUM` work runs mostly on the latter, and
    targets are reserved in advance for `HUGE` work.
    """

    SHORT = "short"
    MEDIUM = "medium"
    LONG = "long"
    HUGE = "huge"


PREFILL_TIERS = {lane: tier for tier, lane in enumerate(Lane)}
"""The order in which an engine prefills work of the same rank; lower tiers go first."""


class WorkSize(NamedTuple):
    """The memory and prefill that an item needs, and its cost in fair queueing, in tokens."""

    memory_tokens: int
    prefill_tokens: int
    cost_tokens: int


def size_of(item: WorkItem, cached_tokens: int = 0) -> WorkSize:
    """Return an item's size when `cached_tokens` of its prompt need no prefill.

    A call to a plain service, which names no model, needs neither memory nor prefill.
    """
    prefill = max(1, item.prompt_tokens - cached_tokens) if item.model else 0
    memory = item.prompt_tokens + item.output_tokens if item.model else 0
    return WorkSize(memory, prefill, max(1, prefill + item.output_tokens))


def lane_of(item: WorkItem, settings: PoolSettings, largest_memory_tokens: int) -> Lane:
    """Return an item's lane in a pool whose largest engine holds `largest_memory_tokens` tokens."""
    size = size_of(item)
    if item.prompt_tokens <= settings.short_prompt_tokens:
        return Lane.SHORT
    is_too_large = bool(largest_memory_tokens) and size.memory_tokens > largest_memory_tokens
    if is_too_large or item.prompt_tokens > settings.long_prompt_tokens:
        return Lane.HUGE
    if item.prompt_tokens <= settings.medium_prompt_tokens:
        return Lane.MEDIUM
    return Lane.LONG


def engine_priority(item: WorkItem, lane: Lane, *, is_urgent: bool = False) -> int:
    """Return the priority on an engine, lowest first: by the kind's rank, then by lane."""
    priority = item.rank * len(PREFILL_TIERS) + PREFILL_TIERS[lane]
    return min(priority, URGENT_PRIORITY) if is_urgent else priority


class DecodeEstimator:
    """Estimates of decode time, learned from permits that ended.

    The time per token is kept apart for short and for other work, the share of its token limit that
    an answer uses for each kind. Estimates rise faster than they fall, so that they stay near the
    upper end of the observed values.
    """

    RISE_RATE = 0.1
    FALL_RATE = 0.01
    CONFIRMATION_AGE_LIMIT_MS = 30_000.0
    """How long an answer confirms the estimate, in milliseconds."""

    def __init__(self, initial_ms: Millis) -> None:
        self._token_ms = dict.fromkeys((True, False), initial_ms)
        self._learned_at_ms = dict.fromkeys((True, False), float("-inf"))
        self._length_shares: dict[str, float] = {}

    def answer_ms(self, item: WorkItem, lane: Lane) -> Millis:
        """Return how long decoding the answer takes after its first token, in milliseconds.

        The answer is expected to use the same share of its token limit as others of its kind.
        """
        tokens = item.output_tokens * self._length_shares.get(item.kind, 1.0)
        return tokens * self._token_ms[lane is Lane.SHORT] if item.model else 0.0

    def confirmed_answer_ms(self, item: WorkItem, lane: Lane, now_ms: Millis) -> Millis:
        """Return the estimate of `answer_ms` if recent answers confirm it, otherwise 0.

        Refusals rest on this value and not on `answer_ms`: an unconfirmed estimate that is too high
        would refuse all work, and without answers it would never be corrected.
        """
        is_recent = (
            now_ms < self._learned_at_ms[lane is Lane.SHORT] + self.CONFIRMATION_AGE_LIMIT_MS
        )
        is_known = is_recent and item.kind in self._length_shares
        return self.answer_ms(item, lane) if is_known else 0.0

    def learn_answer_length(self, item: WorkItem, output_tokens: int) -> None:
        """Update the kind's share of the token limit by the length of a complete answer."""
        share = min(1.0, output_tokens / max(1, item.output_tokens))
        known_share = self._length_shares.setdefault(item.kind, share)
        rate = self.RISE_RATE if share > known_share else self.FALL_RATE
        self._length_shares[item.kind] = known_share + rate * (share - known_share)

    def learn_token_time(self, lane: Lane, token_ms: Millis, now_ms: Millis) -> None:
        """Update the time per token by that of one answer."""
        is_short = lane is Lane.SHORT
        self._learned_at_ms[is_short] = now_ms
        known_ms = self._token_ms[is_short]
        rate = self.RISE_RATE if token_ms > known_ms else self.FALL_RATE
        self._token_ms[is_short] = known_ms + rate * (token_ms - known_ms)


class DurationEstimator:
    """Estimates of durations on a pool's targets, learned from permits that ended."""

    LEARNING_RATE = 0.05
    MIN_PROMPT_TOKENS = 512
    """The time of shorter prompts depends on the fixed cost of a step rather than the rate."""

    RATE_RANGE_TOKENS_PER_S = (1_000.0, 1_000_000.0)

    def __init__(self, settings: PoolSettings) -> None:
        self._prefill_tokens_per_s = settings.prefill_tokens_per_s
        self.decode = DecodeEstimator(settings.decode_token_ms)

    @property
    def prefill_tokens_per_s(self) -> float:
        """Return the prefill rate of one engine, in tokens per second."""
        return self._prefill_tokens_per_s

    def prefill_ms(self, tokens: int) -> Millis:
        """Return how long an otherwise idle engine takes to prefill `tokens`."""
        return tokens * 1000.0 / self._prefill_tokens_per_s

    def learn_prefill(self, tokens: int, first_token_ms: Millis) -> None:
        """Update the prefill rate by the time to first token on an otherwise idle engine.

        A non-positive time and prompts shorter than `MIN_PROMPT_TOKENS` are ignored.
        """
        if tokens < self.MIN_PROMPT_TOKENS or first_token_ms <= 0:
            return
        lowest, highest = self.RATE_RANGE_TOKENS_PER_S
        rate = min(highest, max(lowest, tokens * 1000.0 / first_token_ms))
        self._prefill_tokens_per_s += self.LEARNING_RATE * (rate - self._prefill_tokens_per_s)

    def learn(self, permit: Permit, message: PermitReleased, now_ms: Millis) -> None:
        """Update all estimates from a permit whose answer is complete.

        The prefill rate is updated only if the permit started on one idle engine.
        """
        if not permit.item.model or message.output_tokens <= 0 or message.first_token_ms <= 0:
            return
        if permit.is_prefill_sample and len(permit.targets) == 1:
            self.learn_prefill(permit.item.prompt_tokens, message.first_token_ms)
        answer_ms = now_ms - permit.granted_ms - message.first_token_ms
        if answer_ms > 0:
            token_ms = answer_ms / message.output_tokens
            self.decode.learn_token_time(permit.lane, token_ms, now_ms)
        self.decode.learn_answer_length(permit.item, message.output_tokens)

    def service_ms(self, item: WorkItem, lane: Lane, engine_count: int = 1) -> Millis:
        """Return how long an item takes on `engine_count` engines, without its wait."""
        prefill = self.prefill_ms(size_of(item).prefill_tokens) / engine_count
        return prefill + self.decode.answer_ms(item, lane)

    def confirmed_service_ms(
        self, item: WorkItem, lane: Lane, engine_count: int, now_ms: Millis
    ) -> Millis:
        """Return `service_ms`, but without decode time unless recent answers confirm it."""
        prefill = self.prefill_ms(size_of(item).prefill_tokens) / engine_count
        return prefill + self.decode.confirmed_answer_ms(item, lane, now_ms)
