"""Admission: the checks a call passes before it becomes a request."""

from __future__ import annotations

from typing import NamedTuple

from expression import Error, Ok, Result

from marigoldarch.clock import Millis
from marigoldarch.control.member import Member
from marigoldarch.control.view import ClusterView, CustomerRecord
from marigoldarch.entry.limits import counted_subjects, find_limit
from marigoldarch.entry.request import Request
from marigoldarch.events import CallInfo
from marigoldarch.outcomes import NotRun, RefusalReason
from marigoldarch.settings import CoreSettings

NO_LEASE_RETRY_MS: Millis = 500.0


class Terms(NamedTuple):
    """What the declaration grants a call; `deadline_ms` is a duration."""

    rank: int
    deadline_ms: Millis
    is_idempotent: bool


def admit(
    call: CallInfo, member: Member, settings: CoreSettings, now_ms: Millis
) -> Result[Request, NotRun]:
    """Check a call against the lease and the declarations."""
    if not member.has_lease(now_ms):
        return Error(NotRun(RefusalReason.NO_LEASE, NO_LEASE_RETRY_MS))
    view = member.view
    customer = view.find_customer(call.customer_key_sha256)
    if customer is None:
        return Error(NotRun(RefusalReason.UNKNOWN_KEY))
    match _find_terms(call, customer, view):
        case Result(tag="ok", ok=terms):
            return Ok(_build_request(call, customer, terms, settings, view, now_ms))
        case Result(error=refusal):
            return Error(refusal)


def _build_request(
    call: CallInfo,
    customer: CustomerRecord,
    terms: Terms,
    settings: CoreSettings,
    view: ClusterView,
    now_ms: Millis,
) -> Request:
    limit_ms = min(terms.deadline_ms, settings.entry.max_deadline_ms)
    if call.deadline_ms is not None:
        limit_ms = min(limit_ms, call.deadline_ms)
    subjects = counted_subjects(customer.team, call.kind, customer.customer)
    limits = tuple(item for item in subjects if not find_limit(view, item).is_unlimited)
    return Request(
        call, customer, terms.rank, now_ms, now_ms + limit_ms, terms.is_idempotent, limits
    )


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
    kind = view.find_kind(customer.team, call.kind)
    if call.kind and kind is None:
        return Error(NotRun(RefusalReason.FORBIDDEN_KIND))
    return Ok(Terms(kind.rank if kind else 0, method.deadline_ms, method.idempotent))
