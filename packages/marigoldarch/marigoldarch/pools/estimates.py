"""Sizes and durations of work, as the scheduler expects them."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

from marigoldarch.clock import Millis
from marigoldarch.messages import PermitReleased, WorkItem
from marigoldarch.settings import PoolSettings

if TYPE_CHECKING:
    from marigoldarch.pools.permits import Permit

URGENT_PRIORITY = 1
"""The engine priority of work that would otherwise miss its deadline; short work still goes first.
"""


class Lane(StrEnum):
    """The way through the pool, by prompt length; `HUGE` work gets its targets reserved.

    Engines are kept for `SHORT` work or take `LONG` work and all that lies between.
    """

    SHORT = "short"
    MEDIUM = "medium"
    LONG = "long"
    HUGE = "huge"


TIERS = {lane: tier for tier, lane in enumerate(Lane)}
"""The order in which engines prefill work of one rank."""


class WorkSize(NamedTuple):
    """What an item needs: tokens of memory and of prefill, and its cost in tokens."""

    memory_tokens: int
    prefill_tokens: int
    cost_tokens: int


def size_of(item: WorkItem, cached_tokens: int = 0) -> WorkSize:
    """Return an item's size when `cached_tokens` of its prompt need no prefill."""
    prefill = max(1, item.prompt_tokens - cached_tokens) if item.model else 0
    memory = item.prompt_tokens + item.output_tokens if item.model else 0
    return WorkSize(memory, prefill, max(1, prefill + item.output_tokens))


def lane_of(item: WorkItem, settings: PoolSettings, largest_memory: int) -> Lane:
    """Return an item's lane in a pool whose largest engine holds `largest_memory` tokens."""
    size = size_of(item)
    if item.prompt_tokens <= settings.short_prompt_tokens:
        return Lane.SHORT
    is_too_large = bool(largest_memory) and size.memory_tokens > largest_memory
    if is_too_large or item.prompt_tokens > settings.long_prompt_tokens:
        return Lane.HUGE
    if item.prompt_tokens <= settings.medium_prompt_tokens:
        return Lane.MEDIUM
    return Lane.LONG


def engine_priority(item: WorkItem, lane: Lane, *, is_urgent: bool = False) -> int:
    """Return the priority on an engine: the rank of the kind first, then the size."""
    priority = item.rank * len(TIERS) + TIERS[lane]
    return min(priority, URGENT_PRIORITY) if is_urgent else priority


class DecodeTime:
    """The time a token of an answer takes, learned from permits that ended.

    The estimate rises fast and falls slowly, so that it stays near the upper end of what was seen.
    """

    RISE = 0.1
    FALL = 0.01
    BELIEVED_MS = 30_000.0
    """How long an estimate is believed without an answer that confirms it."""

    def __init__(self, initial_ms: Millis) -> None:
        self._token_ms = dict.fromkeys((True, False), initial_ms)
        self._learned_at_ms = dict.fromkeys((True, False), float("-inf"))
        self._length_shares: dict[str, float] = {}

    def answer_ms(self, item: WorkItem, lane: Lane) -> Millis:
        """Return how long the answer takes after its first token.

        Answers are expected to use the share of their bound that others of their kind did.
        """
        tokens = item.output_tokens * self._length_shares.get(item.kind, 1.0)
        return tokens * self._token_ms[lane is Lane.SHORT] if item.model else 0.0

    def known_answer_ms(self, item: WorkItem, lane: Lane, now_ms: Millis) -> Millis:
        """Return how long the answer takes as far as recent answers tell, otherwise 0.

        A refusal must not rest on a guess: a guess too high would refuse all work, and then no
        answer could ever correct it.
        """
        is_recent = now_ms < self._learned_at_ms[lane is Lane.SHORT] + self.BELIEVED_MS
        is_known = is_recent and item.kind in self._length_shares
        return self.answer_ms(item, lane) if is_known else 0.0

    def learn_length(self, item: WorkItem, output_tokens: int) -> None:
        """Take the length of a whole answer."""
        share = min(1.0, output_tokens / max(1, item.output_tokens))
        known = self._length_shares.setdefault(item.kind, share)
        step = self.RISE if share > known else self.FALL
        self._length_shares[item.kind] = known + step * (share - known)

    def learn(self, lane: Lane, token_ms: Millis, now_ms: Millis) -> None:
        """Take the time a token took in an answer."""
        is_short = lane is Lane.SHORT
        self._learned_at_ms[is_short] = now_ms
        known_ms = self._token_ms[is_short]
        share = self.RISE if token_ms > known_ms else self.FALL
        self._token_ms[is_short] = known_ms + share * (token_ms - known_ms)


class Timing:
    """Durations of work on the targets of a pool, learned from permits that ended."""

    LEARNING_SHARE = 0.05
    LEAST_TOKENS = 512
    """Prompts below this tell the fixed cost of a step rather than the rate."""

    RATE_RANGE = (1_000.0, 1_000_000.0)

    def __init__(self, settings: PoolSettings) -> None:
        self._tokens_per_s = settings.prefill_tokens_per_s
        self.decode = DecodeTime(settings.decode_token_ms)

    @property
    def tokens_per_s(self) -> float:
        """Return the prefill rate of one engine."""
        return self._tokens_per_s

    def prefill_ms(self, tokens: int) -> Millis:
        """Return how long an otherwise idle engine prefills `tokens`."""
        return tokens * 1000.0 / self._tokens_per_s

    def learn_prefill(self, tokens: int, first_token_ms: Millis) -> None:
        """Take the time to the first token of work that was granted on an idle engine."""
        if tokens < self.LEAST_TOKENS or first_token_ms <= 0:
            return
        lowest, highest = self.RATE_RANGE
        rate = min(highest, max(lowest, tokens * 1000.0 / first_token_ms))
        self._tokens_per_s += self.LEARNING_SHARE * (rate - self._tokens_per_s)

    def learn(self, permit: Permit, message: PermitReleased, now_ms: Millis) -> None:
        """Learn the engines' rates and the length of answers from a whole answer."""
        if not permit.item.model or message.output_tokens <= 0 or message.first_token_ms <= 0:
            return
        if permit.is_alone and len(permit.targets) == 1:
            self.learn_prefill(permit.item.prompt_tokens, message.first_token_ms)
        answer_ms = now_ms - permit.granted_ms - message.first_token_ms
        if answer_ms > 0:
            token_ms = answer_ms / message.output_tokens
            self.decode.learn(permit.lane, token_ms, now_ms)
        self.decode.learn_length(permit.item, message.output_tokens)

    def service_ms(self, item: WorkItem, lane: Lane, engines: int = 1) -> Millis:
        """Return how long an item takes once it runs on `engines` engines."""
        prefill = self.prefill_ms(size_of(item).prefill_tokens) / engines
        return prefill + self.decode.answer_ms(item, lane)

    def known_service_ms(self, item: WorkItem, lane: Lane, engines: int, now_ms: Millis) -> Millis:
        """Return the time an item takes at least, as far as recent answers tell."""
        prefill = self.prefill_ms(size_of(item).prefill_tokens) / engines
        return prefill + self.decode.known_answer_ms(item, lane, now_ms)
