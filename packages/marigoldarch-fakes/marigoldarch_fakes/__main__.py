"""Command line of the stand-ins: `python -m marigoldarch_fakes engine|service|ask`."""

from __future__ import annotations

import sys

import fire
import trio

from marigoldarch_fakes.caller import Caller, CallResult
from marigoldarch_fakes.engine import Engine, EngineSettings
from marigoldarch_fakes.service import Service, ServiceSettings


def _split_addresses(addresses: str | tuple[str, ...]) -> tuple[str, ...]:
    return tuple(addresses.split(",")) if isinstance(addresses, str) else tuple(addresses)


class Commands:
    """Subcommands that run a stand-in or send one prompt."""

    def engine(self, nodes: str | tuple[str, ...], **flags: object) -> None:
        """Run an engine; the flags are the fields of `EngineSettings`."""
        trio.run(Engine(EngineSettings(nodes=_split_addresses(nodes), **flags)).run)

    def service(self, nodes: str | tuple[str, ...], **flags: object) -> None:
        """Run a plain service; the flags are the fields of `ServiceSettings`."""
        trio.run(Service(ServiceSettings(nodes=_split_addresses(nodes), **flags)).run)

    def ask(
        self,
        text: str,
        nodes: str | tuple[str, ...],
        key: str,
        model: str,
        kind: str,
        max_tokens: int = 16,
    ) -> None:
        """Send one prompt to the node that the directory names and print the answer.

        Exits with status 1 and prints the error body if the stream is incomplete.
        """
        result = trio.run(_ask, list(_split_addresses(nodes)), key, model, kind, text, max_tokens)
        print(result.text if result.is_complete else result.body)
        if not result.is_complete:
            sys.exit(1)


async def _ask(
    nodes: list[str], key: str, model: str, kind: str, text: str, max_tokens: int
) -> CallResult:
    return await Caller(nodes, key).prompt(model, kind, text, max_tokens)


if __name__ == "__main__":
    fire.Fire(Commands)
