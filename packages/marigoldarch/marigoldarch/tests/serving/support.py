"""Values that the tests of serving share; the engine has the published figures of a deployment."""

from __future__ import annotations

import zlib

from marigoldarch.serving.declaration import (
    CallerLimits,
    Customer,
    EngineSpec,
    RepeatRule,
    Route,
    Service,
    ServingDeclaration,
    WeightedService,
)
from marigoldarch.serving.placement import Candidate
from marigoldarch.serving.pool_view import TargetLoad
from marigoldarch.serving.targets import Target

ENGINE = EngineSpec(
    slots=8,
    memory_tokens=405_000,
    step_ms=1.31,
    step_ms_per_decoding_request=0.001834,
    step_ms_per_1k_context=0.00213,
    prefill_tokens_per_ms=154.0,
    prefill_ms_per_million_token_pairs=0.162,
    chunk_tokens=2048,
    steps_per_pass=34,
    helper_hop_ms=0.1,
)


def route(**changes: object) -> Route:
    """Return a route of resumable streams."""
    plain = Route(
        name="quiz",
        host="desk.example",
        path_prefix="/quiz/",
        services=(WeightedService("engines", 1.0),),
        repeat_rule=RepeatRule.RUN_ONCE,
        is_stream=True,
        is_resumable=True,
        has_prompt=True,
        is_public=False,
        timeout_ms=10_000.0,
        goal_ms=300.0,
        pause_goal_ms=250.0,
        attempt_limit=2,
        rank=1,
    )
    return plain._replace(**changes)


def call_once(**changes: object) -> Route:
    """Return a route of calls that may run once."""
    return route(
        name="post",
        path_prefix="/post/",
        is_stream=False,
        is_resumable=False,
        has_prompt=False,
        attempt_limit=1,
    )._replace(**changes)


def declaration(*routes: Route, **changes: object) -> ServingDeclaration:
    """Return a declaration with one customer."""
    plain = ServingDeclaration(
        1,
        routes or (route(),),
        (Service("engines", "/health", 400, ENGINE), Service("desk", "/health", 100, None)),
        CallerLimits(),
        (Customer("harbor", ("key-1", "key-2"), None),),
    )
    return plain._replace(**changes)


def target(name: str, **changes: object) -> Target:
    """Return a target that accepts requests."""
    first, second, third = zlib.crc32(name.encode()).to_bytes(4, "big")[1:]
    address = f"10.{first}.{second}.{third}:80"
    plain = Target(name, 1000, 1, "engines", address, "dc1", 8, is_leaving=False)
    return plain._replace(**changes)


def candidate(name: str, load: TargetLoad | None = None, **changes: object) -> Candidate:
    """Return a healthy target in the entry's data centre."""
    plain = Candidate(target(name), load or TargetLoad(), 1.0, True, False, 0.0)
    return plain._replace(**changes)
