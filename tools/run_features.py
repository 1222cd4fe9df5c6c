"""Runs each feature file in its own behave process, several at once, and adds up the results.

Without arguments it runs all feature files. Scenarios named in ``KNOWN-RED.txt`` (lines
``red: FEATURE FILE: SCENARIO NAME``) are printed and not counted as failures. The
last line printed is ``N passed, N failed``.
"""

import json
import os
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
FEATURES = ROOT / "features"
KNOWN_RED_PREFIX = "red: "
N_WORKERS = max(2, (os.cpu_count() or 2) - 2)
FEATURE_TIMEOUT_S = 600


def read_known_red():
    """Return the entries ``FEATURE FILE: SCENARIO NAME`` of ``KNOWN-RED.txt``."""
    lines = (ROOT / "KNOWN-RED.txt").read_text().splitlines()
    return {ln[len(KNOWN_RED_PREFIX) :] for ln in lines if ln.startswith(KNOWN_RED_PREFIX)}


def describe_failed_steps(element):
    """Return a line for each failed step of a scenario in behave's JSON report, with its message.

    Parameters
    ----------
    element : dict
        Scenario of the report.
    """
    lines = []
    for step in element.get("steps", []):
        result = step.get("result", {})
        if result.get("status") not in (None, "passed", "skipped", "untested"):
            message = result.get("error_message", "")
            if isinstance(message, list):
                message = "\n".join(message)
            lines.append(f"  {result['status']}: {step['keyword']} {step['name']}\n{message}")
    return lines


def run_feature(path):
    """Run a feature file.

    A timeout, or an exit code of behave that no scenario explains, is returned as a failed
    scenario with the name ``feature``.

    Returns
    -------
    tuple
        The path, the name, status and failed steps of each scenario, and the output.
    """
    with tempfile.TemporaryDirectory() as tmp:
        report = Path(tmp) / "report.json"
        cmd = [sys.executable, "-m", "behave", "--no-color", "--no-capture", "--format=json"]
        cmd += [f"--outfile={report}", "--format=plain", "--outfile=/dev/stdout", str(path)]
        try:
            completed = subprocess.run(
                cmd, cwd=ROOT, capture_output=True, text=True, timeout=FEATURE_TIMEOUT_S
            )
        except subprocess.TimeoutExpired as exc:
            return path, [("feature", "timeout", [])], str(exc.stdout)
        text = report.read_text() if report.exists() else "[]"
        features = json.loads(text) if text.strip() else []
    results = [
        (
            element["name"].strip(),
            element.get("status", "error"),
            describe_failed_steps(element),
        )
        for feature in features
        for element in feature.get("elements", [])
        if element["type"] != "background"
    ]
    if completed.returncode and all(status == "passed" for _, status, _ in results):
        results.append(("feature", "error", []))
    return path, results, completed.stdout + completed.stderr


def main(argv):
    """Run feature files and print the results; return 1 if any failed or none passed."""
    paths = [Path(arg).resolve() for arg in argv] or sorted(FEATURES.rglob("*.feature"))
    known_red = read_known_red()
    n_passed = n_failed = 0
    with ThreadPoolExecutor(N_WORKERS) as pool:
        for path, results, output in pool.map(run_feature, paths):
            name = path.relative_to(ROOT).as_posix()
            unexpected = 0
            for scenario, status, failed_steps in results:
                if status == "passed":
                    n_passed += 1
                elif f"{name}: {scenario}" in known_red:
                    print(f"known red: {name}: {scenario}")
                else:
                    print(f"FAILED ({status}): {name}: {scenario}", *failed_steps, sep="\n")
                    unexpected += 1
            n_failed += unexpected
            if unexpected:
                print(output[-12000:])
    print(f"{n_passed} passed, {n_failed} failed")
    return 1 if n_failed or not n_passed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
