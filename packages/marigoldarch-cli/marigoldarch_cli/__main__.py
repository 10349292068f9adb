"""The command `marigoldarch`: parses flags, runs the command and prints its result."""

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
        """Apply the declaration at PATH; wait until it is in force (--nowait: until committed)."""
        options = apply_command.ApplyOptions(Path(path), operator, base, change_id, wait)
        _print_or_exit(apply_command.apply(NodeClient(node, key), options))

    def diff(self, path: str, node: str = "", key: str = "") -> None:
        """Show what applying the declaration at PATH would change."""
        _print_or_exit(diff_command.diff(NodeClient(node, key), Path(path)))

    def history(self, team: str = "", node: str = "", key: str = "") -> None:
        """Show the latest changes of TEAM, or of all teams and the operators."""
        _print_or_exit(history_command.history(NodeClient(node, key), team))

    def repair(
        self, lost: str, by: str = "", node: str = "", key: str = "", timeout_s: float = 60.0
    ) -> None:
        """Replace the lost replica of node LOST by that of node BY, or by a new one of LOST."""
        client = NodeClient(node, key)
        _print_or_exit(repair_command.repair(client, lost, by or lost, timeout_s))

    def status(self, node: str = "", key: str = "") -> None:
        """Show the state of a node."""
        _request_and_print(NodeClient(node, key), "GET", "/v1/operator/status")

    def get(self, team: str = "", node: str = "", key: str = "") -> None:
        """Show the declaration of TEAM, or everything that a node acts on."""
        _print_or_exit(get_command.get(NodeClient(node, key), team))

    def directory(self, node: str = "", key: str = "") -> None:
        """Show the node addresses that callers should use."""
        _request_and_print(NodeClient(node, key), "GET", "/v1/directory")

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
        """Show the events of all nodes in causal order; with --request, in one lane per node."""
        filters = {"request": request, "pool": pool, "target": target, "revision": revision}
        filter_texts = {name: str(text) for name, text in filters.items()}
        client = NodeClient(node, key)
        _print_or_exit(
            timeline_command.render(
                client, lambda address: NodeClient(address, key), filter_texts, limit
            )
        )

    def drain(self, node: str = "", key: str = "") -> None:
        """Stop a node gracefully."""
        _request_and_print(NodeClient(node, key), "POST", "/v1/operator/drain")


def _request_and_print(client: NodeClient, method: str, path: str) -> None:
    _print_or_exit(client.request(method, path).bind(format_response))


def _print_or_exit(result: Result[str, MarigoldarchError]) -> None:
    match result:
        case Result(tag="ok", ok=text):
            print_text(text)
        case Result(error=error):
            print(f"marigoldarch: {error}", file=sys.stderr)
            sys.exit(EXIT_FAILURE)


def main() -> None:
    """Run the command given by the arguments of the process."""
    fire.Fire(Commands, name="marigoldarch")


if __name__ == "__main__":
    main()
