"""Run the tests of all packages and of the platform folder; end with a line that counts them.

Tests listed in KNOWN-RED.txt may fail without failing the run. They are printed if they fail.
"""

from __future__ import annotations

import subprocess
import sys
import tempfile
import xml.etree.ElementTree as ElementTree
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parent.parent
KNOWN_FAILURES_FILE = ROOT / "KNOWN-RED.txt"
MAX_PARALLEL_PACKAGES = 4


class PackageResult(NamedTuple):
    """The names of a package's passed and failed tests, and the output and exit code of nose2."""

    passed: list[str]
    failed: list[str]
    output: str
    exit_code: int


def run_package_tests(package: Path) -> PackageResult:
    """Run nose2 on one package and read its JUnit report; a missing report counts as no tests."""
    with tempfile.TemporaryDirectory() as folder:
        report_path = Path(folder) / "report.xml"
        command = [sys.executable, "-m", "nose2", "-c", str(ROOT / "unittest.cfg")]
        command += ["-s", str(package), "-t", str(package)]
        command += ["--plugin", "nose2.plugins.junitxml", "--junit-xml"]
        command += ["--junit-xml-path", str(report_path)]
        process = subprocess.run(command, cwd=package, capture_output=True, text=True, check=False)
        cases = ElementTree.parse(report_path).iter("testcase") if report_path.exists() else []
        passed: list[str] = []
        failed: list[str] = []
        for case in cases:
            name = f"{case.get('classname')}.{case.get('name')}"
            is_failed = case.find("failure") is not None or case.find("error") is not None
            (failed if is_failed else passed).append(name)
    return PackageResult(passed, failed, process.stdout + process.stderr, process.returncode)


def read_known_failures() -> set[str]:
    """Return the names of the tests that may fail: the lines that start with `test: `."""
    if not KNOWN_FAILURES_FILE.exists():
        return set()
    lines = KNOWN_FAILURES_FILE.read_text().splitlines()
    return {line.removeprefix("test: ").strip() for line in lines if line.startswith("test: ")}


def main() -> None:
    """Run all tests; exit with 1 if any test fails that is not a known failure, or none passes."""
    packages = sorted(path.parent for path in (ROOT / "packages").glob("*/pyproject.toml"))
    packages.append(ROOT / "platform")
    with ThreadPoolExecutor(MAX_PARALLEL_PACKAGES) as pool:
        results = list(pool.map(run_package_tests, packages))
    known_failures = read_known_failures()
    passed = [name for result in results for name in result.passed]
    failed = [name for result in results for name in result.failed]
    for package, result in zip(packages, results, strict=True):
        # nose2 failed but reported no failed test, for example as it crashed before its report.
        is_run_broken = result.exit_code != 0 and not result.failed
        if is_run_broken:
            failed.append(f"{package.name}: the test run itself")
        if result.failed or is_run_broken:
            print(f"--- {package.name}\n{result.output}")
    for name in sorted(known_failures.intersection(failed)):
        print(f"known red: {name}")
    unexpected = [name for name in failed if name not in known_failures]
    for name in unexpected:
        print(f"failed: {name}")
    print(f"{len(passed)} passed, {len(unexpected)} failed")
    sys.exit(1 if unexpected or not passed else 0)


if __name__ == "__main__":
    main()
