"""An entry's core in virtual time."""

import random
from collections.abc import Callable

from crocusvalve.base import AttemptId, Command, NodeId, RequestId
from crocusvalve.billing import BillOutbox
from crocusvalve.config import DocumentView
from crocusvalve.entry import CoreTables, EntryCore, Policies
from crocusvalve.entry._commands import (
    CancelAttempt,
    Deliver,
    Finish,
    RateAnswer,
    Refuse,
    ReportInvariantError,
    ResumeAttempt,
    SampleAnswer,
    ShareQuarantine,
    StartAttempt,
)
from crocusvalve.entry._runtime import make_bill
from crocusvalve.exceptions import RefusedError
from crocusvalve.model import RequestRow
from crocusvalve.rpc import RunEvent
from crocusvalve.soak._checks import SoakChecks
from crocusvalve.soak._scheduler import Scheduler
from crocusvalve.soak._streams import SoakNetwork

__all__ = ["SoakEntry"]

RATING_DELAY_S = 0.05


class SoakEntry:
    """One run of an entry.

    Parameters
    ----------
    node_id : NodeId
        The entry.
    view : DocumentView
        Revision at the start.
    network : SoakNetwork
        Way to the agents.
    scheduler : Scheduler
        Virtual time.
    random_state : random.Random
        Source of randomness.
    checks : SoakChecks
        Invariants.
    share : callable
        Tells the other entries of a crash.
    """

    def __init__(
        self,
        node_id: NodeId,
        view: DocumentView,
        *,
        network: SoakNetwork,
        scheduler: Scheduler,
        random_state: random.Random,
        checks: SoakChecks,
        share: Callable[[ShareQuarantine], None],
    ):
        self.network = network
        self.scheduler = scheduler
        self.random_state = random_state
        self.checks = checks
        self.tables = CoreTables(view)
        policies = Policies(random_state=random_state, node_id=node_id)
        self.core = EntryCore(tables=self.tables, policies=policies, node_id=node_id)
        self.outbox = BillOutbox()
        self.rows: dict[RequestId, RequestRow] = {}
        self.is_dead = False
        self._carry_out = {
            StartAttempt: lambda cmd: network.start(cmd.address, cmd.run, self.feed),
            ResumeAttempt: self._resume,
            CancelAttempt: lambda cmd: network.cancel(cmd.address, cmd.attempt_id),
            Deliver: lambda cmd: checks.note_part(cmd.request_id, cmd.data),
            Finish: self._finish,
            Refuse: self._refuse,
            RateAnswer: self._rate,
            SampleAnswer: lambda cmd: None,
            ShareQuarantine: share,
            ReportInvariantError: self._raise_invariant,
        }

    def submit(self, req: RequestRow) -> None:
        """Take a caller's request."""
        self.rows[req.request_id] = req
        try:
            commands = self.core.submit(req, self.scheduler.now)
        except RefusedError as exc:
            self.checks.note_refused(req.request_id, exc)
            return
        self.dispatch(commands)

    def abandon(self, request_id: RequestId) -> None:
        """The caller leaves."""
        if not self.is_dead and request_id in self.tables.requests:
            self.checks.note_gone(request_id)
            self.dispatch(self.core.abandon(request_id, self.scheduler.now))

    def feed(self, attempt_id: AttemptId, event: RunEvent) -> None:
        """Take an event of an attempt."""
        if not self.is_dead:
            self.dispatch(self.core.handle_event(attempt_id, event, self.scheduler.now))

    def tick(self) -> None:
        """Run what is due."""
        self.dispatch(self.core.tick(self.scheduler.now))

    def kill(self) -> list[RequestId]:
        """Die; return the requests whose callers lose their connection."""
        self.is_dead = True
        return list(self.tables.requests)

    def dispatch(self, commands: list[Command]) -> None:
        """Carry out commands in order."""
        for command in commands:
            self._carry_out[type(command)](command)

    def _resume(self, cmd: ResumeAttempt) -> None:
        delay_s = max(0.0, cmd.not_before - self.scheduler.now)
        self.network.resume(cmd.address, cmd.attempt_id, cmd.from_seq, delay_s, self.feed)

    def _finish(self, cmd: Finish) -> None:
        self.checks.note_answered(cmd.summary)
        req = self.rows[cmd.request_id]
        self.outbox.add(make_bill(req, cmd.summary, self.scheduler.now))

    def _refuse(self, cmd: Refuse) -> None:
        self.checks.note_refused(cmd.request_id, cmd.error)

    def _rate(self, cmd: RateAnswer) -> None:
        score = self.random_state.choice((None, 0.2, 0.7, 0.9))
        self.scheduler.add(RATING_DELAY_S, lambda: self._take_rating(cmd.request_id, score))

    def _take_rating(self, request_id: RequestId, score: float | None) -> None:
        if not self.is_dead:
            self.dispatch(self.core.handle_rating(request_id, score, self.scheduler.now))

    @staticmethod
    def _raise_invariant(cmd: ReportInvariantError) -> None:
        raise cmd.error
