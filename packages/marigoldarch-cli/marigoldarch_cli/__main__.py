"""The command `marigoldarch`: parse flags and delegate to the commands."""

from __future__ import annotations

import sys
from pathlib import Path

import fire
from expression import Result

from marigoldarch.exceptions import MarigoldarchError
from marigoldarch_cli.client import NodeClient
from marigoldarch_cli.commands import apply as apply_command
from marigoldarch_cli.commands import diff as diff_command
from marigoldarch_cli.commands import get as get_command
from marigoldarch_cli.commands import history as history_command
from marigoldarch_cli.commands import repair as repair_command
from marigoldarch_cli.commands import timeline as timeline_command
from marigoldarch_cli.output import format_response, print_text

EXIT_FAILURE = 1


class Commands:
    """Operate a marigoldarch installation."""

    def apply(
        self,
        path: str,
        node: str = "",
        operator: str = "operator",
        base: int | None = None,
        change_id: str = "",
        key: str = "",
        wait: bool = True,
    ) -> None:
        """Apply the declaration at PATH and wait until it is in force; --nowait: is committed."""
        change = apply_command.Change(Path(path), operator, base, change_id, wait)
        _finish(apply_command.apply(NodeClient(node, key), change))

    def diff(self, path: str, node: str = "", key: str = "") -> None:
        """Show what applying the declaration at PATH would change."""
        _finish(diff_command.diff(NodeClient(node, key), Path(path)))

    def history(self, team: str = "", node: str = "", key: str = "") -> None:
        """Show the latest changes of a team, or of all."""
        _finish(history_command.history(NodeClient(node, key), team))

    def repair(
        self, lost: str, by: str = "", node: str = "", key: str = "", timeout_s: float = 60.0
    ) -> None:
        """Replace the lost replica of node LOST by the one of node BY, or by its own new one."""
        client = NodeClient(node, key)
        _finish(repair_command.repair(client, lost, by or lost, timeout_s))

    def status(self, node: str = "", key: str = "") -> None:
        """Show the state of a node."""
        _show(NodeClient(node, key), "GET", "/v1/operator/status")

    def get(self, team: str = "", node: str = "", key: str = "") -> None:
        """Show the declaration of TEAM, or all that a node acts on."""
        _finish(get_command.get(NodeClient(node, key), team))

    def directory(self, node: str = "", key: str = "") -> None:
        """Show which addresses a caller should use."""
        _show(NodeClient(node, key), "GET", "/v1/directory")

    def timeline(
        self,
        node: str = "",
        key: str = "",
        request: str = "",
        pool: str = "",
        target: str = "",
        revision: str = "",
        limit: int = 2000,
    ) -> None:
        """Show the time line of all nodes in causal order; one request is drawn as text."""
        wanted = {"request": request, "pool": pool, "target": target, "revision": revision}
        texts = {name: str(text) for name, text in wanted.items()}
        client = NodeClient(node, key)
        _finish(timeline_command.show(client, lambda a: NodeClient(a, key), texts, limit))

    def drain(self, node: str = "", key: str = "") -> None:
        """Stop a node gracefully."""
        _show(NodeClient(node, key), "POST", "/v1/operator/drain")


def _show(client: NodeClient, method: str, path: str) -> None:
    _finish(client.request(method, path).bind(format_response))


def _finish(result: Result[str, MarigoldarchError]) -> None:
    match result:
        case Result(tag="ok", ok=text):
            print_text(text)
        case Result(error=problem):
            print(f"marigoldarch: {problem}", file=sys.stderr)
            sys.exit(EXIT_FAILURE)


def main() -> None:
    """Enter from the command line."""
    fire.Fire(Commands, name="marigoldarch")


if __name__ == "__main__":
    main()
