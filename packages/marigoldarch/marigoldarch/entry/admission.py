"""Admission: the checks a call passes before it becomes a request."""

from __future__ import annotations

from typing import NamedTuple

from expression import Error, Ok, Result

from marigoldarch.clock import Millis
from marigoldarch.control.member import Member
from marigoldarch.control.view import ClusterView, CustomerRecord
from marigoldarch.entry.request import Request
from marigoldarch.events import CallInfo
from marigoldarch.identifiers import PoolId
from marigoldarch.outcomes import NotRun, RefusalReason
from marigoldarch.settings import CoreSettings

NO_LEASE_RETRY_MS: Millis = 500.0
NO_SCHEDULER_RETRY_MS: Millis = 1000.0


class Terms(NamedTuple):
    """What the declaration grants a call; `deadline_ms` is a duration."""

    rank: int
    deadline_ms: Millis
    is_idempotent: bool


def admit(
    call: CallInfo, member: Member, settings: CoreSettings, now_ms: Millis
) -> Result[Request, NotRun]:
    """Check a call against the lease, the declarations and the pools."""
    if not member.has_lease(now_ms):
        return Error(NotRun(RefusalReason.NO_LEASE, NO_LEASE_RETRY_MS))
    view = member.view
    customer = view.find_customer(call.customer_key_sha256)
    if customer is None:
        return Error(NotRun(RefusalReason.UNKNOWN_KEY))
    match _find_terms(call, customer, view):
        case Result(tag="error", error=refusal):
            return Error(refusal)
        case Result(tag="ok", ok=terms):
            pass
    pool = _choose_pool(call, view, settings.address.data_centre)
    if pool is None:
        return Error(NotRun(RefusalReason.NO_SCHEDULER, NO_SCHEDULER_RETRY_MS))
    limit_ms = min(terms.deadline_ms, settings.entry.max_deadline_ms)
    if call.deadline_ms is not None:
        limit_ms = min(limit_ms, call.deadline_ms)
    deadline_ms = now_ms + limit_ms
    return Ok(Request(call, customer, terms.rank, deadline_ms, terms.is_idempotent, pool))


def _find_terms(
    call: CallInfo, customer: CustomerRecord, view: ClusterView
) -> Result[Terms, NotRun]:
    if call.service:
        return _find_service_terms(call, customer, view)
    if not view.has_model(customer.team, call.model):
        return Error(NotRun(RefusalReason.UNKNOWN_MODEL))
    kind = view.find_kind(customer.team, call.kind)
    allowed = customer.declaration.kinds
    if kind is None or (allowed and call.kind not in allowed):
        return Error(NotRun(RefusalReason.FORBIDDEN_KIND))
    if call.prompt_tokens > kind.max_prompt_tokens:
        return Error(NotRun(RefusalReason.PROMPT_TOO_LONG))
    return Ok(Terms(kind.rank, kind.deadline_ms, True))


def _find_service_terms(
    call: CallInfo, customer: CustomerRecord, view: ClusterView
) -> Result[Terms, NotRun]:
    state = view.teams[customer.team]
    if call.service not in state.declaration.services:
        return Error(NotRun(RefusalReason.UNKNOWN_SERVICE))
    method = view.find_method(customer.team, call.service, call.method)
    if method is None:
        return Error(NotRun(RefusalReason.UNKNOWN_METHOD))
    if not method.is_idempotent_or_keyed(call.idempotency_key):
        return Error(NotRun(RefusalReason.IDEMPOTENCY_KEY_REQUIRED))
    return Ok(Terms(0, method.deadline_ms, method.idempotent))


def _choose_pool(call: CallInfo, view: ClusterView, data_centre: str) -> PoolId | None:
    pools = view.pools_of(call.service or call.model)
    return min(pools, key=lambda pool: (pool.data_centre != data_centre, pool), default=None)
