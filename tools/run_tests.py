"""Run the tests of every package, and close with one line that counts them."""

from __future__ import annotations

import subprocess
import sys
import tempfile
import xml.etree.ElementTree as ElementTree
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
PARALLEL_RUNS = 4


class Outcome(NamedTuple):
    """What came of one package's tests."""

    passed: list[str]
    failed: list[str]
    output: str
    exit_code: int


def run_package(package: Path) -> Outcome:
    """Run nose2 on one package and read its report."""
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.xml"
        command = [sys.executable, "-m", "nose2", "-c", str(ROOT / "unittest.cfg")]
        command += ["-s", str(package), "-t", str(package)]
        command += ["--plugin", "nose2.plugins.junitxml", "--junit-xml"]
        command += ["--junit-xml-path", str(report)]
        finished = subprocess.run(command, cwd=package, capture_output=True, text=True, check=False)
        cases = ElementTree.parse(report).iter("testcase") if report.exists() else []
        passed: list[str] = []
        failed: list[str] = []
        for case in cases:
            name = f"{case.get('classname')}.{case.get('name')}"
            is_failed = case.find("failure") is not None or case.find("error") is not None
            (failed if is_failed else passed).append(name)
    return Outcome(passed, failed, finished.stdout + finished.stderr, finished.returncode)


def read_known_red() -> set[str]:
    """Return the tests that are known to fail: the lines that start with `test: `."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line.removeprefix("test: ").strip() for line in lines if line.startswith("test: ")}


def main() -> None:
    """Run all packages; exit 1 when a test fails that is not known to."""
    packages = sorted(path.parent for path in (ROOT / "packages").glob("*/pyproject.toml"))
    packages.append(ROOT / "platform")
    with ThreadPoolExecutor(PARALLEL_RUNS) as pool:
        outcomes = list(pool.map(run_package, packages))
    known = read_known_red()
    passed = [name for outcome in outcomes for name in outcome.passed]
    failed = [name for outcome in outcomes for name in outcome.failed]
    for package, outcome in zip(packages, outcomes, strict=True):
        is_broken = outcome.exit_code != 0 and not outcome.failed
        if is_broken:
            failed.append(f"{package.name}: the test run itself")
        if outcome.failed or is_broken:
            print(f"--- {package.name}\n{outcome.output}")
    for name in sorted(known.intersection(failed)):
        print(f"known red: {name}")
    unexpected = [name for name in failed if name not in known]
    for name in unexpected:
        print(f"failed: {name}")
    print(f"{len(passed)} passed, {len(unexpected)} failed")
    sys.exit(1 if unexpected or not passed else 0)


if __name__ == "__main__":
    main()
