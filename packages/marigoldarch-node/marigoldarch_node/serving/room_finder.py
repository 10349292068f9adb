"""Finds room for a request on the targets of its service, or how long it has to wait for it.

The decisions are those of the placement, of the fair queue of waiting requests, and of the turns at
limited targets; this module asks them in turn with what the entry knows.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from marigoldarch.serving.abandonment import abandon_ms
from marigoldarch.serving.attempts import MIN_ATTEMPT_TIME_MS
from marigoldarch.serving.candidates import cached_name_hash
from marigoldarch.serving.engine_formula import answer_ms
from marigoldarch.serving.free_places import find_place
from marigoldarch.serving.placement import (
    EnginePlacer,
    Placement,
    PlacementRequest,
    PlacementWeights,
    Saturated,
    choose_least_loaded,
    refusal_retry_after_ms,
)
from marigoldarch.serving.pool_view import TargetLoad
from marigoldarch.serving.waiting_tickets import Lane, RequestTimes
from marigoldarch.serving.waiting_tickets import new_ticket as make_ticket
from marigoldarch.serving.waiting_turns import leave_limited_to_earlier, next_turn_ms

if TYPE_CHECKING:
    from marigoldarch.clock import Millis
    from marigoldarch.serving.placement import Candidate
    from marigoldarch.serving.routing import PromptSize
    from marigoldarch.serving.waiting_tickets import Ticket
    from marigoldarch_node.serving.call import Call
    from marigoldarch_node.serving.entry_state import EntryState

MAX_WAIT_SHARE = 0.25
"""A request waits for capacity only if the expected wait is at most this share of its remaining
time; otherwise it is refused at once."""

MAX_TURN_SHARE = 0.5
"""The same for a wait whose end is known, as it follows from limits that targets name."""

DEFAULT_RETRY_AFTER_MS: Millis = 250.0
"""`Retry-After` of a refusal without a better estimate: about five engine passes."""

CAPACITY_POLL_MS: Millis = 50.0
"""How often a waiting request retries its placement, besides whenever other work ends, and whether
it may still wait."""

MIN_POLL_MS: Millis = 2.0
"""A request that waits for a shorter time retries its placement after this time."""


class RoomFinder:
    """Chooses targets for the attempts of an entry's calls."""

    def __init__(self, state: EntryState) -> None:
        self._state = state

    def new_ticket(self, call: Call) -> Ticket | None:
        """Return what orders a request among waiting ones, None for a service without engines."""
        prompt, engine, route = call.request_info.prompt, call.service.engine, call.route
        if engine is None or prompt is None:
            return None
        received_ms = call.exchange.request.received_ms
        usable_ms = call.deadline_ms
        if route.is_stream and not call.exchange.is_head_sent:
            usable_ms = min(usable_ms, received_ms + abandon_ms(route))
        return make_ticket(
            engine,
            prompt,
            RequestTimes(received_ms, route.goal_ms, usable_ms),
            self._state.waiting.next_number(),
            call.customer.name if call.customer else "",
            call.rank,
        )

    def find_room(self, call: Call, ticket: Ticket | None) -> Placement | Saturated:
        """Choose targets for the next attempt, in the order of the requests that wait.

        Where targets are limited or cold, requests get turns at them in the order of arrival instead: two
        orders at once could leave a place free for which each waits for the other.
        """
        service, waiting = call.service, self._state.waiting
        if ticket is None or not waiting.is_waiting(service.name, ticket.lane):
            return self.choose_placement(call)
        if self._has_limited_targets(service.name):
            return self.choose_placement(call)
        if not ticket.is_queued and self._state.returning.count:
            ticket.came_ms = self._state.returning.first_came_ms(call.identity, ticket.arrived_ms)
        now_ms, line = self._now_ms(), waiting.line(service.name)
        if ticket.lane is Lane.LONG:
            found = self.choose_placement(call)
            if isinstance(found, Saturated) or line.may_begin(ticket, found.first_token_ms, now_ms):
                return found
            wait_ms = min(line.first_start_in_ms(now_ms), ticket.usable_until_ms - now_ms)
            return Saturated(max(CAPACITY_POLL_MS, wait_ms))
        position = line.position(ticket, now_ms)
        found = self._take_place(call, position, now_ms)
        if isinstance(found, Placement):
            return found
        wait_ms = line.expected_wait_ms(ticket, now_ms)
        if position > 0 and wait_ms:
            return Saturated(max(found.retry_after_ms, wait_ms), is_turn=True)
        chosen = self.choose_placement(call)
        if isinstance(chosen, Saturated) or position == 0:
            return chosen
        # There is room, but not for this request yet.
        return found

    def _has_limited_targets(self, service: str) -> bool:
        """Return whether a target of a service accepts only so many requests a second."""
        state, now_ms = self._state, self._now_ms()
        if not state.target_limits.rates and not state.cold.count(now_ms):
            return False
        candidates = state.candidates.find(service, set(), now_ms)
        return any(item.limit_per_s for item in candidates)

    def choose_placement(self, call: Call) -> Placement | Saturated:
        """Choose targets for the next attempt among those that have not failed this request."""
        now_ms = self._now_ms()
        source, service, failed = self._state.candidates, call.service, call.history.failed_targets
        prompt, engine = call.request_info.prompt, service.engine
        ahead = self._state.waiting_turns.count_ahead(service.name, call.turn)
        if engine is not None and prompt is not None:
            placer = EnginePlacer(engine, PlacementWeights())
            request = self._placement_request(call, prompt, now_ms)
            near = leave_limited_to_earlier(source.find_near(service.name, failed, now_ms), ahead)
            found = placer.place_near(request, near, now_ms)
            if found is not None:
                return found
        candidates = source.find(service.name, failed, now_ms)
        if not candidates and call.route.may_repeat and call.history.may_have_run:
            # No other target is left; the ones that broke off may still complete the request.
            candidates = source.find(service.name, set(), now_ms)
        if not candidates:
            return Saturated(self.retry_after_ms(call, None))
        candidates = leave_limited_to_earlier(candidates, ahead)
        if all(item.limit_per_s and item.wait_ms for item in candidates):
            return Saturated(next_turn_ms(candidates, ahead), is_turn=True)
        if engine is not None and prompt is not None:
            return placer.place(request, candidates, now_ms)
        chosen = choose_least_loaded(candidates)
        if chosen is None:
            return Saturated(next_turn_ms(candidates, ahead))
        return Placement((chosen.target,), 0.0, 0.0)

    def retry_after_ms(self, call: Call, told_ms: Millis | None) -> Millis:
        """Return when the caller should come back if none of the service's targets ran the request."""
        candidates = self._state.candidates.find(call.service.name, set(), self._now_ms())
        return refusal_retry_after_ms(candidates, told_ms, DEFAULT_RETRY_AFTER_MS)

    def is_too_late(
        self, call: Call, ticket: Ticket | None, placement: Saturated, began_ms: Millis
    ) -> bool:
        """Return whether a request should not wait for capacity any longer."""
        now_ms = self._now_ms()
        left_ms = call.deadline_ms - now_ms
        if now_ms - began_ms > left_ms or left_ms < MIN_ATTEMPT_TIME_MS:
            return True
        if ticket is not None and now_ms + placement.retry_after_ms > ticket.usable_until_ms:
            return True
        share = MAX_TURN_SHARE if placement.is_turn else MAX_WAIT_SHARE
        return placement.retry_after_ms > left_ms * share

    def expected_ms(self, call: Call, placement: Placement | Saturated) -> Millis:
        """Return how long a request takes from now on, at least, if it is placed so or soon."""
        prompt, service = call.request_info.prompt, call.service
        if service.engine is None or prompt is None:
            return self._state.call_durations.expected_ms(service.name, call.route.goal_ms)
        if isinstance(placement, Saturated):
            return answer_ms(service.engine, prompt, TargetLoad())
        first = cached_name_hash(placement.targets[0].target_id)
        load = self._state.workload.view.load_of(first)
        return placement.first_token_ms + answer_ms(service.engine, prompt, load)

    def order_fields(self, call: Call, ticket: Ticket | None) -> dict[str, object]:
        """Return the log fields that tell the place of a request among the waiting ones."""
        if ticket is None:
            return {}
        now_ms, line = self._now_ms(), self._state.waiting.line(call.service.name)
        return {
            "lane": ticket.lane.name.lower(),
            "position": line.position(ticket, now_ms),
            "customer": ticket.customer,
            "rank": ticket.rank,
            "lead_ms": round(line.lead_ms(ticket)),
            "wait_ms": round(line.expected_wait_ms(ticket, now_ms)),
        }

    def _take_place(self, call: Call, position: int, now_ms: Millis) -> Placement | Saturated:
        """Return a placement on the free place of a position, if there is one."""
        source, service, failed = self._state.candidates, call.service, call.history.failed_targets
        ahead = self._state.waiting_turns.count_ahead(service.name, call.turn)
        place: Candidate | None = None
        for find in (source.find_near, source.find):
            if place is None or place.is_suspended:
                candidates = leave_limited_to_earlier(find(service.name, failed, now_ms), ahead)
                place = find_place(service.engine, candidates, position, now_ms)
        if place is None:
            return Saturated(CAPACITY_POLL_MS)
        placer = EnginePlacer(service.engine, PlacementWeights())
        request = self._placement_request(call, call.request_info.prompt, now_ms)
        return placer.place(request, [place], now_ms)

    def _placement_request(
        self, call: Call, prompt: PromptSize, now_ms: Millis
    ) -> PlacementRequest:
        elapsed_ms = now_ms - call.exchange.request.received_ms
        return PlacementRequest(
            prompt.tokens,
            prompt.answer_tokens,
            max(call.route.goal_ms - elapsed_ms, 1.0),
            call.deadline_ms - now_ms,
            call.route.pause_goal_ms,
            abandon_ms(call.route) - elapsed_ms,
        )

    def _now_ms(self) -> Millis:
        return self._state.clock.monotonic_ms()
