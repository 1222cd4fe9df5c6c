"""Experiment ``exposure``: number of answers by a bad version before it is withdrawn."""

import random

from msgspec import Struct, structs

from crocusvalve.base import BootId, CustomerId, ModelRef, NodeId, Revision, RolloutState
from crocusvalve.bench._deployments import DEPLOYMENTS, Deployment, make_document, sample_customer
from crocusvalve.bench._loop import EventLoop
from crocusvalve.bench._report import BenchTable, Progress, compute_percentile
from crocusvalve.config import DocumentView, RolloutConfig, VersionConfig
from crocusvalve.model import EntryTables
from crocusvalve.rollout import (
    RolloutLedger,
    RolloutSystem,
    SaveRollout,
    aggregate,
    apply_rollout_row,
    choose_version,
    is_valid_successor,
)

__all__ = ["run_exposure"]

#: Number of runs, each with its own seed, of every case.
N_RUNS = 10
N_ENTRIES = 3
#: Longest duration of a run, in virtual time.
HORIZON_S = 3600.0
#: Duration of an answer.
SERVICE_S = 4.0
#: Delay between an answer and its rating.
RATING_LAG_S = 5.0
#: Interval at which an entry reports its counts.
REPORT_INTERVAL_S = 5.0
#: Interval at which the controller runs.
CONTROL_INTERVAL_S = 2.0
#: Delay after which all entries apply a decision of the controller.
APPLY_DELAY_S = 1.0
#: Duration of a run after the withdrawal, in which answers in progress are still counted.
SETTLE_S = 60.0
#: Duration of a stage of the roll-out.
STAGE_S = 300.0
#: Fraction of the current version's answers that are bad.
BASELINE_BAD_SHARE = 0.04
#: Fraction of the requests that start a session.
NEW_SESSION_SHARE = 0.3
#: Fractions of the new version's answers that are bad, one for each case.
BAD_SHARES = (0.04, 0.1, 0.2, 0.5, 0.9)
POLICIES = ("sequential", "fixed_share")


class ExposureRun(Struct, kw_only=True):
    """Outcome of one run.

    The counts continue after the roll-out has ended: to the horizon after its completion, for
    ``SETTLE_S`` seconds after a withdrawal.

    Attributes
    ----------
    state : RolloutState
        Last state of the roll-out.
    ended_at : float
        Seconds from the start to the end of the roll-out; the horizon if it has not ended.
    n_exposed : int
        Number of answers by the new version.
    n_bad : int
        Number of bad answers by the new version.
    """

    state: RolloutState
    ended_at: float
    n_exposed: int
    n_bad: int


class ExposureTrial:
    """Simulates the entries of a deployment and the controller of a roll-out.

    Parameters
    ----------
    deployment : Deployment
        Source of the model, its traffic and the customers.
    policy : str
        Name of the roll-out policy.
    bad_share : float
        Fraction of the new version's answers that are bad.
    seed : int
        Seed of the requests and answers.
    """

    def __init__(self, deployment: Deployment, policy: str, bad_share: float, seed: int):
        self.deployment = deployment
        self.bad_share = bad_share
        self.rng = random.Random(seed)
        self.loop = EventLoop(1000.0)
        traffic = deployment.traffic[0]
        self.model = ModelRef(f"{deployment.member}/{traffic.model}")
        versions = {"v1": VersionConfig(), "v2": VersionConfig()}
        rollout = RolloutConfig(traffic.model, "v2", stage_s=STAGE_S, policy=policy)
        document = make_document(deployment, versions=versions, rollout=rollout)
        view = DocumentView(document, Revision(1))
        self.entries = [EntryTables(view) for _ in range(N_ENTRIES)]
        self.ledgers = [
            RolloutLedger(node_id=NodeId(f"e{index}"), boot_id=BootId("b"))
            for index in range(N_ENTRIES)
        ]
        self.controller = RolloutSystem(node_id=NodeId("e0"), lease_number=1)
        self.tables = EntryTables(view)
        self.reports: dict[int, list] = {}
        self.stored_row = None
        self.sessions: list[tuple[str, str]] = []
        self.n_exposed = self.n_bad = self.n_requests = 0
        self.rate_per_s = sum(
            item.rate_per_s for item in deployment.traffic if item.model == traffic.model
        )

    def run(self) -> ExposureRun:
        """Run to the horizon, or until ``SETTLE_S`` seconds after a withdrawal."""
        start = self.loop.now
        ended_at = HORIZON_S
        self._send_request()
        self._run_controller()
        for index in range(N_ENTRIES):
            self.loop.call_after(
                REPORT_INTERVAL_S * (index + 1) / N_ENTRIES, self._report_counts, index
            )
        while self.loop.now < start + HORIZON_S:
            self.loop.run_until(self.loop.now + 10.0)
            is_running = self.stored_row is None or self.stored_row.state is RolloutState.RUNNING
            if not is_running and ended_at == HORIZON_S:
                ended_at = self.loop.now - start
            if not is_running and self.stored_row.state is RolloutState.WITHDRAWN:
                self.loop.run_until(self.loop.now + SETTLE_S)
                break
        return ExposureRun(
            state=self.stored_row.state,
            ended_at=ended_at,
            n_exposed=self.n_exposed,
            n_bad=self.n_bad,
        )

    def _send_request(self) -> None:
        self.loop.call_after(self.rng.expovariate(self.rate_per_s), self._send_request)
        self.n_requests += 1
        index = self.rng.randrange(N_ENTRIES)
        tables, rollout = self.entries[index], self.entries[index].rollouts.get(self.model)
        if self.sessions and self.rng.random() >= NEW_SESSION_SHARE:
            version = self._continue_session(tables)
        else:
            customer = CustomerId(f"{self.deployment.member}/{sample_customer(self.rng)}")
            key = f"{customer}/{self.n_requests}"
            version = choose_version(tables, customer, self.model, key)
            self.sessions.append((customer, version))
            self.sessions = self.sessions[-200:]
        if rollout is not None:
            self.loop.call_after(SERVICE_S, self._answer, index, rollout, version)

    def _continue_session(self, tables: EntryTables) -> str:
        customer, version = self.rng.choice(self.sessions)
        row = tables.rollouts.get(self.model)
        if row is not None and row.version == version and row.state is RolloutState.WITHDRAWN:
            return row.baseline
        return version

    def _answer(self, index: int, rollout, version: str) -> None:
        is_new = version == rollout.version
        is_good = self.rng.random() >= (self.bad_share if is_new else BASELINE_BAD_SHARE)
        if is_new:
            self.n_exposed += 1
            self.n_bad += not is_good
            self.ledgers[index].count_contact(rollout.rollout_id)
        self.loop.call_after(RATING_LAG_S, self._rate, index, rollout.rollout_id, is_new, is_good)

    def _rate(self, index: int, rollout_id: str, is_new: bool, is_good: bool) -> None:
        self.ledgers[index].count_answer(rollout_id, is_new=is_new, is_good=is_good)

    def _report_counts(self, index: int) -> None:
        self.loop.call_after(REPORT_INTERVAL_S, self._report_counts, index)
        self.reports[index] = self.ledgers[index].list_reports()

    def _run_controller(self) -> None:
        self.loop.call_after(CONTROL_INTERVAL_S, self._run_controller)
        if self.stored_row is not None:
            reports = [report for reports in self.reports.values() for report in reports]
            apply_rollout_row(self.tables, aggregate(self.stored_row, reports))
        for command in self.controller.run(self.tables, self.loop.now):
            if isinstance(command, SaveRollout) and is_valid_successor(
                self.stored_row, command.row
            ):
                self.stored_row = command.row
                self.loop.call_after(APPLY_DELAY_S, self._apply_row, self.stored_row)

    def _apply_row(self, row) -> None:
        apply_rollout_row(self.tables, structs.replace(row))
        for tables in self.entries:
            apply_rollout_row(tables, structs.replace(row))


def run_exposure(seed: int, sizes: tuple[str, ...]) -> list[BenchTable]:
    """Compare roll-out policies by the number of answers of a bad version within an hour."""
    table = BenchTable(
        name="exposure",
        seed=seed,
        columns=(
            "size",
            "bad share",
            "policy",
            "withdrawn",
            "completed",
            "exposed mean",
            "exposed p95",
            "bad answers mean",
            "ended mean s",
        ),
        plot_x="bad share",
        plot_y="exposed mean",
        plot_group=("size", "policy"),
    )
    progress = Progress(len(sizes) * len(BAD_SHARES) * len(POLICIES))
    for size in sizes:
        for bad_share in BAD_SHARES:
            for policy in POLICIES:
                runs = [
                    ExposureTrial(DEPLOYMENTS[size], policy, bad_share, seed * 1000 + index).run()
                    for index in range(N_RUNS)
                ]
                table.rows.append((size, bad_share, policy, *_summarise(runs)))
                progress.advance(f"exposure {size} {bad_share} {policy}")
    return [table]


def _summarise(runs: list[ExposureRun]) -> tuple:
    n_withdrawn = sum(run.state is RolloutState.WITHDRAWN for run in runs)
    n_complete = sum(run.state is RolloutState.COMPLETE for run in runs)
    exposed = [float(run.n_exposed) for run in runs]
    return (
        f"{n_withdrawn}/{len(runs)}",
        f"{n_complete}/{len(runs)}",
        sum(exposed) / len(runs),
        compute_percentile(exposed, 0.95),
        sum(run.n_bad for run in runs) / len(runs),
        sum(run.ended_at for run in runs) / len(runs),
    )
