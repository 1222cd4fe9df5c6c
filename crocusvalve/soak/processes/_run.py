"""Runs a complete soak of gateway processes from a seed."""

import json
import random
import tempfile
import time
from collections import Counter
from functools import partial
from pathlib import Path

import msgspec
import trio
from msgspec import Struct, field

from crocusvalve.soak.processes._callers import REQUEST_DEADLINES_S, SoakCaller
from crocusvalve.soak.processes._checker import GuaranteeChecker
from crocusvalve.soak.processes._cluster import SoakCluster
from crocusvalve.soak.processes._disruptions import find_kinds, make_disruption, sample_kinds
from crocusvalve.soak.processes.base import Guarantee, SoakBounds, Violation

__all__ = ["ProcessSoakReport", "ProcessSoakSettings", "run_process_soak"]

#: Time within which all gateways must be ready.
START_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.1
#: Range of the mean pause between the starts of two disruptions.
MEAN_PAUSE_RANGE_S = (0.3, 1.5)
#: Number of latest requests that show whether service has recovered, and the fraction of them that
#: must be served, as the users' requirements define it.
RECOVERY_REQUESTS = 24
RECOVERY_FRACTION = 0.25
ERROR_LEVELS = ("error", "critical")


class ProcessSoakSettings(Struct, frozen=True, kw_only=True):
    """Settings of a soak of processes.

    Attributes
    ----------
    seed : int
        Seed of the disruptions and requests; the timing of the processes still varies.
    seconds : float
        How long faults are injected.
    n_gateways, n_callers : int
        Number of gateway processes and of concurrent callers.
    kinds : tuple of str
        Names of the kinds of disruption; if empty, the seed selects some of them.
    folder : str
        Directory for settings, logs and the report; if empty, they are discarded.
    """

    seed: int = 0
    seconds: float = 15.0
    n_gateways: int = 5
    n_callers: int = 20
    kinds: tuple[str, ...] = ()
    folder: str = ""


class ProcessSoakReport(Struct, kw_only=True):
    """Counts, disruptions and violations of a soak.

    ``recovered_s`` is the time from the last fault until service recovered, in seconds, and None if
    it did not. ``clock_offset_s`` plus a time on the soak's clock is the time in the logs.
    """

    seed: int
    n_requests: int = 0
    n_served: int = 0
    n_refused: int = 0
    recovered_s: float | None = None
    clock_offset_s: float = 0.0
    disruptions: list[str] = field(default_factory=list)
    violations: list[Violation] = field(default_factory=list)


def run_process_soak(settings: ProcessSoakSettings) -> ProcessSoakReport:
    """Run a soak and write its report; all processes that it starts have ended when it returns.

    Raises
    ------
    ValueError
        If a setting is out of its range.
    """
    check_settings(settings)
    with tempfile.TemporaryDirectory() as temporary:
        folder = Path(settings.folder or temporary)
        folder.mkdir(parents=True, exist_ok=True)
        report = trio.run(partial(ProcessSoak(settings, folder).run))
        (folder / "report.json").write_bytes(msgspec.json.encode(report))
    return report


def check_settings(settings: ProcessSoakSettings) -> None:
    """Raise ``ValueError`` if a setting is out of its range."""
    for name, low, high in (
        ("seconds", 1, 3600),
        ("n_gateways", 1, 200),
        ("n_callers", 1, 500),
    ):
        value = getattr(settings, name)
        if not low <= value <= high:
            raise ValueError(f"{name} must be from {low} to {high}, got {value}")
    find_kinds(settings.kinds)


class ProcessSoak:
    """One soak of processes.

    Parameters
    ----------
    settings : ProcessSoakSettings
        Seed, sizes and duration.
    folder : Path
        Directory of settings and logs.
    """

    def __init__(self, settings: ProcessSoakSettings, folder: Path):
        self.settings = settings
        self.random_state = random.Random(settings.seed)
        self.checker = GuaranteeChecker(SoakBounds(), trio.current_time)
        self.cluster = SoakCluster(
            random.Random(settings.seed + 1), self.checker, folder, settings.n_gateways
        )
        self.report = ProcessSoakReport(seed=settings.seed)

    async def run(self) -> ProcessSoakReport:
        """Run the soak and return its report."""
        try:
            async with trio.open_nursery() as nursery:
                await self.cluster.start(nursery)
                await self._wait_until_ready()
                for number in range(self.settings.n_callers):
                    random_state = random.Random(f"{self.settings.seed}|{number}")
                    nursery.start_soon(SoakCaller(self.cluster, self.checker, random_state).run)
                await self._inject_disruptions()
                self.cluster.end_faults()
                await self._wait_for_recovery()
                await self.cluster.stop()
                nursery.cancel_scope.cancel()
        finally:
            self.cluster.kill()
        self._check_logs()
        return self._fill_report()

    async def _wait_until_ready(self) -> None:
        """Wait until all gateways are ready; report a violation after the timeout."""
        with trio.move_on_after(START_TIMEOUT_S) as scope:
            while any(gateway.n_missed_probes for gateway in self.cluster.gateways):
                await trio.sleep(POLL_INTERVAL_S)
        if scope.cancelled_caught:
            self.checker.report(Guarantee.PROCESS, f"not all ready after {START_TIMEOUT_S} s")

    async def _inject_disruptions(self) -> None:
        """Start disruptions at random intervals until the time is over; they may overlap."""
        rng = self.random_state
        kinds = find_kinds(self.settings.kinds) or sample_kinds(rng)
        pause_s = rng.uniform(*MEAN_PAUSE_RANGE_S)
        started_at = trio.current_time()
        end_at = started_at + self.settings.seconds
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end_at:
                disruption = make_disruption(self.cluster, kinds, rng)
                at_s = trio.current_time() - started_at
                self.report.disruptions.append(f"{at_s:.2f} s: {disruption.label}")
                nursery.start_soon(disruption.run)
                await trio.sleep(rng.expovariate(1.0 / pause_s))

    async def _wait_for_recovery(self) -> None:
        """Wait until enough of the latest requests are served; report a violation if too late."""
        faults_ended_at = trio.current_time()
        bound_s = self.checker.bounds.recover_s
        while True:
            sent = [
                item for item in self.checker.attempts.values() if item.sent_at >= faults_ended_at
            ]
            ended = [item for item in sent if item.ended_at is not None][-RECOVERY_REQUESTS:]
            n_served = sum(item.answer.status == 200 and item.answer.is_complete for item in ended)
            now = trio.current_time()
            if len(ended) == RECOVERY_REQUESTS and n_served >= RECOVERY_FRACTION * len(ended):
                self.report.recovered_s = round(now - faults_ended_at, 2)
                return
            if now - faults_ended_at > bound_s + max(REQUEST_DEADLINES_S.values()):
                description = f"{n_served} of {len(ended)} served {bound_s} s after the last fault"
                self.checker.report(Guarantee.RECOVERY, description)
                return
            await trio.sleep(POLL_INTERVAL_S)

    def _check_logs(self) -> None:
        """Report errors that gateways logged, and log lines that aren't valid records."""
        for gateway in self.cluster.gateways:
            for line in gateway.log_path.read_text(errors="replace").splitlines():
                try:
                    level = json.loads(line)["level"].lower()
                except (ValueError, KeyError):
                    level = ERROR_LEVELS[0]
                if level in ERROR_LEVELS:
                    self.checker.report(Guarantee.PROCESS, f"{gateway.name} logs {line[:2000]}")

    def _fill_report(self) -> ProcessSoakReport:
        """Fill the report with counts and violations and return it."""
        report = self.report
        report.clock_offset_s = round(time.time() - self.checker.clock(), 3)
        attempts = self.checker.attempts.values()
        counts = Counter(attempt.answer.status for attempt in attempts)
        report.n_requests = len(attempts)
        report.n_served = counts[200]
        report.n_refused = sum(attempt.answer.is_not_executed for attempt in attempts)
        report.violations = self.checker.violations
        return report
