"""Start a stand-in: `python -m marigoldarch_fakes engine|service [flags]`."""

from __future__ import annotations

import fire
import trio

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


if __name__ == "__main__":
    fire.Fire(Commands)
