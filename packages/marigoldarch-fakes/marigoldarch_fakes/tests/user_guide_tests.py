"""Tests that all commands of the user guide work, run in one shell in the order of the pages."""

from __future__ import annotations

import contextlib
import os
import re
import signal
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from marigoldarch_fakes.cluster import random_loopback

GUIDE = Path(__file__).resolve().parents[4] / "docs/user-guide"
PAGES = ("first-steps.md", "declarations.md", "repair.md", "running.md")
TIMEOUT_S = 120.0
PAGE_ADDRESS = "127.0.0.1"

_BLOCK = re.compile(r"^```(sh|toml)\n(.*?)^```$", re.MULTILINE | re.DOTALL)
_FILE = re.compile(r"^# file: (\S+)$", re.MULTILINE)


def make_script(page: str) -> str:
    """Return a page's commands and commands that write the files it shows, in the page's order."""
    parts: list[str] = []
    for language, text in _BLOCK.findall(page):
        named = _FILE.match(text)
        if language == "sh":
            parts.append(text)
        elif named:
            parts.append(f"cat > {named.group(1)} <<'END_OF_FILE'\n{text}END_OF_FILE\n")
    return "".join(parts)


class UserGuideTests(unittest.TestCase):
    """The commands and files of the pages, run as a reader would."""

    def test_commands_of_the_pages_succeed_in_order(self) -> None:
        pages = [f"echo '# {name}'\n{make_script((GUIDE / name).read_text())}" for name in PAGES]
        script = "set -exuo pipefail\n" + "".join(pages) + "echo '# end of the guide'\n"
        output = run_script(script.replace(PAGE_ADDRESS, random_loopback()))
        self.assertTrue(output.endswith("# end of the guide\n"), output[-4000:])

    def test_every_page_with_commands_is_run(self) -> None:
        with_commands = {page.name for page in GUIDE.glob("*.md") if "```sh\n" in page.read_text()}
        self.assertEqual(with_commands, set(PAGES))

    def test_files_shown_on_a_page_are_written(self) -> None:
        script = make_script("```toml\n# file: a.toml\nx = 1\n```\n```sh\ncat a.toml\n```\n")
        expected = "cat > a.toml <<'END_OF_FILE'\n# file: a.toml\nx = 1\nEND_OF_FILE\ncat a.toml\n"
        self.assertEqual(script, expected)


def run_script(script: str) -> str:
    """Run a bash script in an empty folder, kill its process group, and return the output."""
    binaries = str(Path(sys.executable).parent)
    environment = {**os.environ, "PATH": f"{binaries}:{os.environ['PATH']}"}
    with (
        tempfile.TemporaryDirectory(prefix="marigoldarch-guide-") as folder,
        (Path(folder) / "output.log").open("w+") as output,
    ):
        shell = subprocess.Popen(
            ["bash", "-c", script],
            cwd=folder,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=subprocess.STDOUT,
            start_new_session=True,
        )
        try:
            shell.wait(TIMEOUT_S)
        except subprocess.TimeoutExpired:
            output.write("# out of time\n")
        finally:
            _kill_process_group(shell)
        output.seek(0)
        return output.read()


def _kill_process_group(shell: subprocess.Popen) -> None:
    with contextlib.suppress(ProcessLookupError):
        os.killpg(shell.pid, signal.SIGKILL)
    shell.wait()
