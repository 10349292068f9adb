"""Admission: the checks that a call passes before it becomes a request."""

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


class CallPolicy(NamedTuple):
    """What the declarations set for a call; `deadline_ms` is a duration from its arrival."""

    rank: int
    deadline_ms: Millis
    is_idempotent: bool


def admit(
    call: CallInfo, member: Member, settings: CoreSettings, now_ms: Millis
) -> Result[Request, NotRun]:
    """Return the request of a call, or a refusal by the node's lease or the declarations."""
    if not member.has_lease(now_ms):
        return Error(NotRun(RefusalReason.NO_LEASE, NO_LEASE_RETRY_MS))
    view = member.view
    customer = view.find_customer(call.customer_key_sha256)
    if customer is None:
        return Error(NotRun(RefusalReason.UNKNOWN_KEY))
    match _resolve_policy(call, customer, view):
        case Result(tag="ok", ok=policy):
            return Ok(_build_request(call, customer, policy, settings, view, now_ms))
        case Result(error=refusal):
            return Error(refusal)


def _build_request(
    call: CallInfo,
    customer: CustomerRecord,
    policy: CallPolicy,
    settings: CoreSettings,
    view: ClusterView,
    now_ms: Millis,
) -> Request:
    time_limit_ms = min(policy.deadline_ms, settings.entry.max_deadline_ms)
    if call.deadline_ms is not None:
        time_limit_ms = min(time_limit_ms, call.deadline_ms)
    subjects = counted_subjects(customer.team, call.kind, customer.customer)
    limit_subjects = tuple(item for item in subjects if not find_limit(view, item).is_unlimited)
    return Request(
        call,
        customer,
        policy.rank,
        now_ms,
        now_ms + time_limit_ms,
        policy.is_idempotent,
        limit_subjects,
    )


def _resolve_policy(
    call: CallInfo, customer: CustomerRecord, view: ClusterView
) -> Result[CallPolicy, NotRun]:
    if call.service:
        return _resolve_service_policy(call, customer, view)
    if not view.has_model(customer.team, call.model):
        return Error(NotRun(RefusalReason.UNKNOWN_MODEL))
    kind = view.find_kind(customer.team, call.kind)
    allowed = customer.declaration.kinds
    if kind is None or (allowed and call.kind not in allowed):
        return Error(NotRun(RefusalReason.FORBIDDEN_KIND))
    if call.prompt_tokens > kind.max_prompt_tokens:
        return Error(NotRun(RefusalReason.PROMPT_TOO_LONG))
    return Ok(CallPolicy(kind.rank, kind.deadline_ms, True))


def _resolve_service_policy(
    call: CallInfo, customer: CustomerRecord, view: ClusterView
) -> Result[CallPolicy, NotRun]:
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
    return Ok(CallPolicy(kind.rank if kind else 0, method.deadline_ms, method.idempotent))
