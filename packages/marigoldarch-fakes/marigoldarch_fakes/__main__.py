"""Start a stand-in, or ask as a caller: `python -m marigoldarch_fakes engine|service|ask`."""

from __future__ import annotations

import sys

import fire
import trio

from marigoldarch_fakes.caller import Caller, CallResult
from marigoldarch_fakes.engine import Engine, EngineSettings
from marigoldarch_fakes.service import Service, ServiceSettings


def _split(names: str | tuple[str, ...]) -> tuple[str, ...]:
    return tuple(names.split(",")) if isinstance(names, str) else tuple(names)


class Commands:
    """The stand-ins."""

    def engine(self, nodes: str | tuple[str, ...], **flags: object) -> None:
        """Run an engine; flags are the fields of EngineSettings."""
        trio.run(Engine(EngineSettings(nodes=_split(nodes), **flags)).run)

    def service(self, nodes: str | tuple[str, ...], **flags: object) -> None:
        """Run a plain service; flags are the fields of ServiceSettings."""
        trio.run(Service(ServiceSettings(nodes=_split(nodes), **flags)).run)

    def ask(
        self,
        text: str,
        nodes: str | tuple[str, ...],
        key: str,
        model: str,
        kind: str,
        max_tokens: int = 16,
    ) -> None:
        """Ask the directory for an address, send one prompt there and print its answer."""
        result = trio.run(_ask, list(_split(nodes)), key, model, kind, text, max_tokens)
        print(result.text if result.is_complete else result.body)
        if not result.is_complete:
            sys.exit(1)


async def _ask(
    nodes: list[str], key: str, model: str, kind: str, text: str, max_tokens: int
) -> CallResult:
    return await Caller(nodes, key).prompt(model, kind, text, max_tokens)


if __name__ == "__main__":
    fire.Fire(Commands)
